#include "contract/ServiceTerms.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace std::chrono_literals;

namespace {

ServiceTerms despacho() {
  ServiceTerms service{"despacho", "despacho", 5s, {}};
  service.Rules.push_back({{"POST"}, "/search", true, 300ms, WorkLength::Short});
  service.Rules.push_back({{"GET"}, "/search/export", false, std::nullopt, WorkLength::Long});
  service.Rules.push_back({{}, "/search", std::nullopt, 1s, WorkLength::Short});
  return service;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServiceTermsRules)

// Guards against repeating a call whose method is not idempotent and has no rule.
BOOST_AUTO_TEST_CASE(MethodsDecideWithoutARule) {
  const ServiceTerms service{"s", "s", 5s, {}};
  for (const char *method : {"GET", "HEAD", "PUT", "DELETE"})
    BOOST_TEST(callTerms(service, method, "/bookings").Repeatable);
  for (const char *method : {"POST", "PATCH", "get", "OPTIONS", ""})
    BOOST_TEST(!callTerms(service, method, "/bookings").Repeatable);
}

// Guards against a rule reaching paths or methods it does not name.
BOOST_AUTO_TEST_CASE(LongestPrefixBySegmentApplies) {
  const ServiceTerms service = despacho();
  BOOST_TEST((callTerms(service, "POST", "/search") == CallTerms{true, 300ms, WorkLength::Short}));
  BOOST_TEST(
      (callTerms(service, "POST", "/search/a?b=c") == CallTerms{true, 300ms, WorkLength::Short}));
  BOOST_TEST((callTerms(service, "POST", "/searches") == CallTerms{false, 5s, WorkLength::Short}));
  BOOST_TEST(
      (callTerms(service, "GET", "/search/export/3") == CallTerms{false, 5s, WorkLength::Long}));
  BOOST_TEST(
      (callTerms(service, "PUT", "/search/export") == CallTerms{true, 1s, WorkLength::Short}));
}

// Guards against a second run of a non-repeatable call that a repeatable rule covers only by the
// spelling of its path.
BOOST_AUTO_TEST_CASE(AmbiguousPathsAreNotRepeatable) {
  const ServiceTerms service = despacho();
  for (const char *path :
       {"/search/../bookings", "/search/..", "/search/./a", "/search//a", "/search/%2e%2e/bookings",
        "/search%2Fa", "/search/%62", "/search/a;b", "/search/a\\..\\b", "/search/%", "/search/%2",
        "/search/%zz", "/search/%252e"}) {
    BOOST_TEST_CONTEXT(path) { BOOST_TEST(!callTerms(service, "POST", path).Repeatable); }
    BOOST_TEST_CONTEXT(path) { BOOST_TEST(!callTerms(service, "PUT", path).Repeatable); }
  }
  for (const char *path : {"/search/", "/search/a%20b", "/search/%C3%B1", "/search/a.b/..c"})
    BOOST_TEST_CONTEXT(path) { BOOST_TEST(callTerms(service, "POST", path).Repeatable); }
  BOOST_TEST(!isPlainPath("search"));
  BOOST_TEST(isPlainPath("/"));
}

BOOST_AUTO_TEST_SUITE_END()
