#include "base/Uuid.h"
#include "ctl/load/AddressBook.h"
#include "ctl/load/Generator.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <set>

using namespace chervil;
using namespace chervil::load;
using namespace std::chrono_literals;

namespace {

constexpr const char *Text = R"({"name": "t",
  "customers": [{"name": "a", "token": "ta", "weight": 3}, {"name": "b", "token": "tb"}],
  "kinds": [
    {"name": "brief", "type": "model", "model": "m", "tokens": [10, 20], "prefix_chars": 512},
    {"name": "book", "type": "service", "service": "s", "method": "POST", "path": "/bookings",
     "repeatable": false, "customers": ["b"]},
    {"name": "status", "type": "service", "service": "s", "path": "/status/{id}"}]})";

std::string replaced(std::string text, const std::string &from, const std::string &to) {
  text.replace(text.find(from), from.size(), to);
  return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Workloads)

// Guards against a misspelt workload file that silently measures something else.
BOOST_AUTO_TEST_CASE(FaultsAreNamed) {
  BOOST_TEST(parseWorkload(Text).has_value());
  const auto fault = [](const std::string &from, const std::string &to) {
    const auto w = parseWorkload(replaced(Text, from, to));
    return w ? std::string() : w.error().Message;
  };
  BOOST_TEST(fault("\"weight\": 3", "\"wieght\": 3") ==
             "workload: customers[0].wieght is not a known member");
  BOOST_TEST(fault("[10, 20]", "[20, 10]") ==
             "workload: kinds[0].tokens is not a pair [min, max] with 1 <= min <= max");
  BOOST_TEST(fault("[\"b\"]", "[\"c\"]") == "workload: kind book names the unknown customer c");
  BOOST_TEST(fault("\"type\": \"model\"", "\"type\": \"x\"") ==
             "workload: kinds[0].type is not model or service");
  BOOST_TEST(!parseWorkload("[]").has_value());
}

// Guards against requests whose answer cannot be checked, and keys without a time.
BOOST_AUTO_TEST_CASE(RequestsMatchTheirKind) {
  const Workload w = *parseWorkload(Text);
  Random rng(3);
  Random keyRng(4);
  std::set<std::string> keys;
  std::set<std::size_t> kinds;
  for (int i = 0; i < 300; ++i) {
    const LoadRequest r = drawRequest(w, rng, keyRng, WallTime(1764800000000ms));
    BOOST_TEST(uuid7Time(r.Key).has_value());
    BOOST_TEST(keys.insert(r.Key).second);
    kinds.insert(r.Kind);
    if (r.Kind == 0) {
      const auto body = nlohmann::json::parse(r.Body);
      const std::string content = body.at("messages").at(0).at("content");
      const auto a = testing::expectAnswer("m", {{"user", content}}, 0);
      BOOST_TEST(a.Seed == r.Answer.Seed);
      BOOST_TEST(a.Tokens >= 10U);
      BOOST_TEST(a.Tokens <= 20U);
    } else if (r.Kind == 1) {
      BOOST_TEST(r.Customer == 1U);
      BOOST_TEST(r.Path == "/v1/services/s/bookings");
      BOOST_TEST(nlohmann::json::parse(r.Body).at("id") == r.Id);
    } else {
      BOOST_TEST(r.DirectPath == "/status/" + r.Id);
    }
  }
  BOOST_TEST(kinds.size() == 3U);
}

// Guards against a caller that stays with an address that failed, or runs out of addresses.
BOOST_AUTO_TEST_CASE(FailedAddressesAreAvoidedWhileOthersExist) {
  Random rng(5);
  const TimePoint now{10s};
  AddressBook book{.Seeds = {"s:1"}};
  BOOST_TEST(pickAddress(book, {}, now, rng) == "s:1");
  BOOST_TEST(!takeEntry(book, R"({"addresses":[]})", now));
  BOOST_TEST(takeEntry(book, R"({"addresses":["a:1","b:1"],"ttl_ms":5000})", now));
  BOOST_TEST(!needsRefresh(book, now + 4s));
  BOOST_TEST(needsRefresh(book, now + 5s));
  for (int i = 0; i < 20; ++i)
    BOOST_TEST(pickAddress(book, "a:1", now, rng) == "b:1");
  noteFailure(book, "b:1", now);
  BOOST_TEST(needsRefresh(book, now));
  for (int i = 0; i < 20; ++i)
    BOOST_TEST(pickAddress(book, {}, now, rng) == "a:1");
  noteFailure(book, "a:1", now);
  BOOST_TEST(!pickAddress(book, {}, now, rng).empty());
}

BOOST_AUTO_TEST_SUITE_END()
