# chervil_known_red(NAME OUT)
#
# Sets OUT to the cases ("Suite/Case") of the package NAME that KNOWN-RED.txt lists. Entries start
# with a line "package Suite/Case"; their other lines are indented.
function(chervil_known_red name out)
  set(file ${PROJECT_SOURCE_DIR}/KNOWN-RED.txt)
  set_property(DIRECTORY ${PROJECT_SOURCE_DIR} APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${file})
  set(cases "")
  if(EXISTS ${file})
    file(STRINGS ${file} lines REGEX "^${name} +[A-Za-z0-9_]+/[A-Za-z0-9_]+ *$")
    foreach(line ${lines})
      string(REGEX REPLACE "^[^ ]+ +([^ ]+) *$" "\\1" case "${line}")
      list(APPEND cases ${case})
    endforeach()
  endif()
  set(${out} ${cases} PARENT_SCOPE)
endfunction()

# chervil_package(NAME [SOURCES ...] [TESTS ...] [CASES ...] [DEPS ...] [TEST_DEPS ...])
#
# Defines the library chervil_NAME from SOURCES and, when TESTS are given, the
# Boost.Test program NAME_test. A package without sources is header-only.
#
# The ctest test NAME runs all cases but those in CASES ("Suite/Case"), which are slow and run as
# tests of their own in parallel, and those in KNOWN-RED.txt, which get the label known_red.
function(chervil_package name)
  cmake_parse_arguments(arg "" "" "SOURCES;TESTS;CASES;DEPS;TEST_DEPS" ${ARGN})
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
  if(arg_TESTS AND CHERVIL_TESTS)
    add_executable(${name}_test ${arg_TESTS} ${PROJECT_SOURCE_DIR}/packages/testing/TestMain.cpp)
    target_compile_definitions(${name}_test PRIVATE BOOST_TEST_DYN_LINK)
    target_link_libraries(${name}_test PRIVATE chervil_${name} ${arg_TEST_DEPS} chervil_warnings
                          Boost::unit_test_framework ${RAPIDCHECK_LIBRARY})
    chervil_known_red(${name} red)
    set(separate ${arg_CASES} ${red})
    list(REMOVE_DUPLICATES separate)
    set(except "")
    foreach(case ${separate})
      list(APPEND except --run_test=!${case})
      add_test(NAME ${name}/${case} COMMAND ${name}_test --run_test=${case} --log_level=test_suite)
      set_tests_properties(${name}/${case} PROPERTIES TIMEOUT 300)
      if(case IN_LIST red)
        set_tests_properties(${name}/${case} PROPERTIES LABELS known_red)
      endif()
    endforeach()
    add_test(NAME ${name} COMMAND ${name}_test ${except} --log_level=test_suite)
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
