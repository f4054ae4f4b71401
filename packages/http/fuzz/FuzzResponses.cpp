// libFuzzer target: responses as they arrive on a connection; see ReaderProperties.h.
#include "http/fuzz/ReaderProperties.h"

#include <cstdint>
#include <cstdio>
#include <cstdlib>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer requires this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  const std::string fault =
      chervil::http::fuzz::checkResponses({reinterpret_cast<const char *>(data), size});
  if (!fault.empty()) {
    (void)std::fprintf(stderr, "%s\n", fault.c_str());
    std::abort();
  }
  return 0;
}
