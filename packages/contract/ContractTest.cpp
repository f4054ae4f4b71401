#include "contract/Contract.h"
#include "contract/JsonReader.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace chervil;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

json sample() {
  return json::parse(R"({
    "customer": "norte-brigadas",
    "keys": ["plain-token-for-test",
             "sha256:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"],
    "limits": {"requests_per_second": 40.5, "tokens_per_second": 20000, "streams": 200},
    "latency": {"first_token": "460ms", "between_tokens": "33ms"},
    "cost_per_hour": 120.25,
    "priority": 1,
    "models": [{"name": "redactor", "default_max_tokens": 512, "work": "long",
                "hints": {"status": "short", "tender": "long"}}],
    "services": [{"name": "despacho", "backends": "despacho", "timeout": "2s",
                  "rules": [{"methods": ["POST"], "path_prefix": "/search", "repeatable": true,
                             "timeout": "300ms", "work": "short"}]}]
  })");
}

std::string faultsOf(const json &document) {
  const auto contract = parseContract(document.dump());
  return contract ? "" : contract.error().Message;
}

// The message when the value at `pointer` is replaced.
std::string faultsWith(const char *pointer, const json &value) {
  json document = sample();
  document[json::json_pointer(pointer)] = value;
  return faultsOf(document);
}

bool contains(const std::string &text, const char *part) {
  return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Contracts)

// Guards against a field that is read into the wrong member or unit.
BOOST_AUTO_TEST_CASE(ReadsEveryField) {
  const auto c = parseContract(sample().dump());
  BOOST_REQUIRE(c.has_value());
  BOOST_TEST(c->Customer == "norte-brigadas");
  BOOST_TEST(c->Keys.size() == 2U);
  BOOST_TEST(c->Limits.RequestsPerSecond == 40.5);
  BOOST_TEST(c->Limits.TokensPerSecond == 20000);
  BOOST_TEST(c->Limits.Streams == 200U);
  BOOST_TEST((c->Latency.FirstToken == 460ms && c->Latency.BetweenTokens == 33ms));
  BOOST_TEST(c->CostPerHour == 120.25);
  BOOST_TEST(c->Priority == 1);
  const ModelTerms *model = findModel(*c, "redactor");
  BOOST_REQUIRE(model != nullptr);
  BOOST_TEST(model->DefaultMaxTokens == 512U);
  BOOST_TEST((workLength(*model, "status") == WorkLength::Short));
  BOOST_TEST((workLength(*model, "other") == WorkLength::Long));
  const ServiceTerms *service = findService(*c, "despacho");
  BOOST_REQUIRE(service != nullptr);
  BOOST_TEST((callTerms(*service, "POST", "/search") == CallTerms{true, 300ms, WorkLength::Short}));
  BOOST_TEST((callTerms(*service, "POST", "/x") == CallTerms{false, 2s, WorkLength::Short}));
  BOOST_TEST(findModel(*c, "other") == nullptr);
  BOOST_TEST(findService(*c, "other") == nullptr);
}

// Guards against a faulty contract that is stored, and against a message that does not lead an
// operator to the fault.
BOOST_AUTO_TEST_CASE(FaultsNamePathAndRange) {
  BOOST_TEST(contains(faultsWith("/limits/streams", 0),
                      "limits.streams: expected an integer from 1 to 1000000"));
  BOOST_TEST(contains(faultsWith("/limits/streams", 2.5), "limits.streams"));
  BOOST_TEST(contains(faultsWith("/limits/requests_per_second", -1),
                      "limits.requests_per_second: expected a number from 0.01 to 1000000"));
  BOOST_TEST(contains(faultsWith("/limits/burst", 1),
                      "limits.burst: unknown key; accepted are requests_per_second"));
  BOOST_TEST(contains(
      faultsWith("/latency/first_token", 460),
      "latency.first_token: expected a duration with unit (ms, s, min, h) from 1ms to 10min"));
  BOOST_TEST(contains(faultsWith("/latency/first_token", "2 s"), "latency.first_token"));
  BOOST_TEST(contains(faultsWith("/latency/first_token", "11min"), "latency.first_token"));
  BOOST_TEST(contains(faultsWith("/priority", 10), "priority: expected an integer from 0 to 9"));
  BOOST_TEST(contains(faultsWith("/cost_per_hour", "12"), "cost_per_hour: expected a number"));
  BOOST_TEST(contains(faultsWith("/customer", "../x"), "customer: expected 1 to 64"));
  BOOST_TEST(contains(faultsWith("/keys", json::array()), "keys: expected an array of 1 to 16"));
  BOOST_TEST(contains(faultsWith("/keys/1", "sha256:9F"), "keys[1]"));
  BOOST_TEST(contains(faultsWith("/models/0/hints/status", "fast"), "models[0].hints.status"));
  BOOST_TEST(contains(faultsWith("/models/1", sample()["models"][0]),
                      "models[1].name: \"redactor\" is listed twice"));
  BOOST_TEST(contains(faultsWith("/services/0/rules/0/methods/0", "post"),
                      "services[0].rules[0].methods[0]"));
  BOOST_TEST(contains(faultsWith("/services/0/rules/0/repeatable", 1),
                      "services[0].rules[0].repeatable: expected true or false"));
  BOOST_TEST(contains(faultsWith("/services/0/rules/0/path_prefix", "/a/../b"),
                      "services[0].rules[0].path_prefix"));
  BOOST_TEST(contains(faultsWith("/services/0/rules", 3), "services[0].rules: expected an array"));
  json missing = sample();
  missing.erase("limits");
  missing.erase("cost_per_hour");
  const std::string both = faultsOf(missing);
  BOOST_TEST(contains(both, "limits: is missing"));
  BOOST_TEST(contains(both, "cost_per_hour: is missing"));
}

// Guards against malformed text, and a key given twice where one value would silently win.
BOOST_AUTO_TEST_CASE(RefusesBadJson) {
  for (const char *text : {"", "{", "[]", "null", "{\"a\":1}x", "{\"a\":1,\"a\":2}",
                           "{\"customer\":{\"b\":1,\"b\":1}}", "{\"cost_per_hour\":1e999}"}) {
    const auto c = parseContract(text);
    BOOST_REQUIRE(!c.has_value());
    BOOST_TEST((c.error().Code == ResultCode::BadJson));
  }
}

// Guards against a key accepted in part, or a hash accepted as a token.
BOOST_AUTO_TEST_CASE(AcceptsOnlyWholeTokens) {
  const auto c = parseContract(sample().dump());
  BOOST_REQUIRE(c.has_value());
  BOOST_TEST(acceptsToken(*c, "plain-token-for-test"));
  BOOST_TEST(acceptsToken(*c, "test"));
  BOOST_TEST(!acceptsToken(*c, ""));
  BOOST_TEST(!acceptsToken(*c, "plain-token-for-tes"));
  BOOST_TEST(!acceptsToken(*c, "plain-token-for-test "));
  BOOST_TEST(!acceptsToken(*c, c->Keys[1]));
}

// Guards against a diff that omits a change, or that shows a key.
BOOST_AUTO_TEST_CASE(DiffNamesChangesAndHidesKeys) {
  const auto a = parseContract(sample().dump());
  BOOST_REQUIRE(a.has_value());
  BOOST_TEST(diff(*a, *a).empty());
  Contract b = *a;
  b.Keys[0] = "another-plain-token";
  b.Limits.Streams = 300;
  b.Models.insert(b.Models.begin(), ModelTerms{"small", 64, WorkLength::Short, {}});
  b.Services[0].Rules[0].Repeatable.reset();
  const std::vector<std::string> expected = {
      "keys: 1 added, 1 removed",
      "limits.streams: 200 -> 300",
      "services[despacho].rules[0].repeatable: true -> (none)",
      "models[small].default_max_tokens: (none) -> 64",
      "models[small].name: (none) -> \"small\"",
      "models[small].work: (none) -> \"short\"",
  };
  BOOST_TEST(diff(*a, b) == expected, boost::test_tools::per_element());
}

// Guards against a duration that is written in one unit and read in another.
BOOST_AUTO_TEST_CASE(DurationsSurviveTheTextForm) {
  BOOST_TEST(rc::check("durations", [](std::uint32_t ms) {
    const Duration value = std::chrono::milliseconds(ms);
    RC_ASSERT(detail::parseDuration(detail::formatDuration(value)) == value);
  }));
  for (const char *text :
       {"", "2", "s", "-2s", "+2s", "2S", "2s ", " 2s", "2.5s", "9999999999999h"})
    BOOST_TEST(!detail::parseDuration(text).has_value());
}

// Guards against a stored contract that reads back as another one.
BOOST_AUTO_TEST_CASE(SerialisedContractsReadBackEqual) {
  BOOST_TEST(rc::check("contract round trip", [] {
    Contract c;
    c.Customer = "c" + std::to_string(*rc::gen::inRange(0, 1000));
    c.Keys = {"plain-token-" + std::to_string(*rc::gen::inRange(1000, 9999))};
    c.Limits = {*rc::gen::inRange(1, 1000000) / 8.0, *rc::gen::inRange(8, 1000000) / 7.0,
                *rc::gen::inRange(1U, 1000U)};
    c.Latency = {std::chrono::milliseconds(*rc::gen::inRange(1, 600000)),
                 std::chrono::milliseconds(*rc::gen::inRange(1, 60000))};
    c.CostPerHour = *rc::gen::inRange(0, 100000) / 3.0;
    c.Priority = *rc::gen::inRange<std::uint8_t>(0, 10);
    const int models = *rc::gen::inRange(0, 4);
    for (int i = 0; i < models; ++i) {
      ModelTerms model{
          "m" + std::to_string(i), *rc::gen::inRange(1U, 100000U), WorkLength::Short, {}};
      if (*rc::gen::arbitrary<bool>())
        model.Hints["h" + std::to_string(i)] = WorkLength::Long;
      c.Models.push_back(model);
    }
    const int services = *rc::gen::inRange(0, 3);
    for (int i = 0; i < services; ++i) {
      ServiceTerms service{"s" + std::to_string(i), "group", std::chrono::seconds(i + 1), {}};
      CallRule rule;
      if (*rc::gen::arbitrary<bool>())
        rule.Repeatable = *rc::gen::arbitrary<bool>();
      if (*rc::gen::arbitrary<bool>())
        rule.Timeout = std::chrono::milliseconds(*rc::gen::inRange(1, 3600000));
      if (*rc::gen::arbitrary<bool>())
        rule.Methods = {"POST", "GET"};
      service.Rules.push_back(rule);
      c.Services.push_back(service);
    }
    const auto back = parseContract(serialise(c));
    RC_ASSERT(back.has_value());
    RC_ASSERT(*back == c);
    RC_ASSERT(diff(*back, c).empty());
  }));
}

// Guards against a crash on damaged documents.
BOOST_AUTO_TEST_CASE(DamagedTextIsRefusedOrRead) {
  const std::string text = sample().dump();
  BOOST_TEST(rc::check("damaged contract", [&text] {
    std::string damaged = text;
    const int edits = *rc::gen::inRange(1, 4);
    for (int i = 0; i < edits; ++i)
      damaged[*rc::gen::inRange<std::size_t>(0, damaged.size())] = *rc::gen::arbitrary<char>();
    const auto c = parseContract(damaged);
    RC_ASSERT(c.has_value() || !c.error().Message.empty());
  }));
}

BOOST_AUTO_TEST_SUITE_END()
