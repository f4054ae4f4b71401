# chervil_package(NAME [SOURCES ...] [TESTS ...] [DEPS ...] [TEST_DEPS ...])
#
# Defines the library chervil_NAME from SOURCES and, when TESTS are given, the
# Boost.Test program NAME_test. A package without sources is header-only.
function(chervil_package name)
  cmake_parse_arguments(arg "" "" "SOURCES;TESTS;DEPS;TEST_DEPS" ${ARGN})
  if(arg_SOURCES)
    add_library(chervil_${name} STATIC ${arg_SOURCES})
    target_include_directories(chervil_${name} PUBLIC ${PROJECT_SOURCE_DIR}/packages)
    target_link_libraries(chervil_${name} PUBLIC ${arg_DEPS})
    target_link_libraries(chervil_${name} PRIVATE chervil_warnings)
  else()
    add_library(chervil_${name} INTERFACE)
    target_include_directories(chervil_${name} INTERFACE ${PROJECT_SOURCE_DIR}/packages)
    target_link_libraries(chervil_${name} INTERFACE ${arg_DEPS})
  endif()
  if(arg_TESTS)
    add_executable(${name}_test ${arg_TESTS} ${PROJECT_SOURCE_DIR}/packages/testing/TestMain.cpp)
    target_compile_definitions(${name}_test PRIVATE BOOST_TEST_DYN_LINK)
    target_link_libraries(${name}_test PRIVATE chervil_${name} ${arg_TEST_DEPS} chervil_warnings
                          Boost::unit_test_framework ${RAPIDCHECK_LIBRARY})
    add_test(NAME ${name} COMMAND ${name}_test --log_level=test_suite)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
  endif()
endfunction()

# Compiler warnings are errors in every target of the workspace. Option structs are filled by
# designated initialisers that name only what differs, so missing ones are not reported.
add_library(chervil_warnings INTERFACE)
target_compile_options(chervil_warnings INTERFACE -Wall -Wextra -Wpedantic -Wshadow
                       -Wnon-virtual-dtor -Wno-missing-field-initializers -Werror)

if(CHERVIL_SANITIZE)
  add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer)
  add_link_options(-fsanitize=address,undefined)
endif()
if(CHERVIL_FUZZ)
  add_compile_options(-fsanitize=fuzzer-no-link,address,undefined)
  add_link_options(-fsanitize=address,undefined)
endif()

# chervil_fuzz_target(PACKAGE NAME SOURCE)
#
# Defines the libFuzzer program PACKAGE_NAME when CHERVIL_FUZZ is on.
function(chervil_fuzz_target package name source)
  if(NOT CHERVIL_FUZZ)
    return()
  endif()
  add_executable(${package}_${name} ${source})
  target_link_libraries(${package}_${name} PRIVATE chervil_${package} chervil_warnings)
  target_link_options(${package}_${name} PRIVATE -fsanitize=fuzzer)
endfunction()
