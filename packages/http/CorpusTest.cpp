#include "http/fuzz/ReaderProperties.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>

using namespace chervil::http::fuzz;

namespace {

/// Runs every file of a part of the corpus through the entry point of its fuzz target.
void checkAll(const char *part, std::string (*check)(std::string_view)) {
  std::size_t n = 0;
  for (const auto &it :
       std::filesystem::directory_iterator(std::filesystem::path(CHERVIL_HTTP_CORPUS) / part)) {
    std::ifstream in(it.path(), std::ios::binary);
    const std::string bytes{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    BOOST_TEST(check(bytes) == "", it.path().filename().string() + ": " + check(bytes));
    ++n;
  }
  BOOST_TEST(n > 0U);
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpCorpus)

// Guards against a fault that a fuzz target has found before: requests that read differently in
// pieces or at a server, and framing or unread bytes beyond the limits.
BOOST_AUTO_TEST_CASE(RequestsKeepTheProperties) { checkAll("requests", checkRequests); }

// The same for responses of servers.
BOOST_AUTO_TEST_CASE(ResponsesKeepTheProperties) { checkAll("responses", checkResponses); }

BOOST_AUTO_TEST_SUITE_END()
