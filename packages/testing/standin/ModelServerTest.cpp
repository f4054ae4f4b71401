#include "testing/standin/ModelServer.h"
#include "testing/standin/HttpFixture.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::standin;
using namespace std::chrono_literals;

namespace {

ModelOptions fast(bool checkFencing) {
  ModelOptions options;
  options.Batch = {.Slots = 4, .PrefillRate = 1e6, .StepBase = 500us, .StepPerSequence = 10us};
  options.CheckFencing = checkFencing;
  options.LoadTime = 20ms;
  options.CacheEventDelay = 10ms;
  options.CacheEventLoss = 0;
  options.KvRate = 1e12;
  return options;
}

struct Fixture : HttpFixture {
  std::unique_ptr<ModelServer> Engine = std::move(*startModel(EventLoop, fast(true)));
  std::unique_ptr<ModelServer> Other = std::move(*startModel(EventLoop, fast(false)));
  std::string OtherUrl = "http://127.0.0.1:" + std::to_string(net::port(*Other->Http));

  Fixture() { Url = "http://127.0.0.1:" + std::to_string(net::port(*Engine->Http)); }

  static Json prompt(const std::string &content) {
    return {{"model", "redactor"}, {"messages", {{{"role", "user"}, {"content", content}}}}};
  }
};

testing::ExpectedAnswer expected(const std::string &content) {
  return testing::expectAnswer("redactor", {{"user", content}}, 0);
}

std::string contentOf(const Answer &a) {
  return a.Body.at("choices").at(0).at("message").at("content");
}

/// Texts of the token events, and whether the stream ended with its terminator.
std::pair<std::string, bool> streamText(const std::string &bytes) {
  std::string text;
  std::size_t at = 0;
  while ((at = bytes.find("data: ", at)) != std::string::npos) {
    at += 6;
    const std::string line = bytes.substr(at, bytes.find("\n\n", at) - at);
    if (line == "[DONE]")
      return {text, true};
    const Json delta = Json::parse(line).at("choices").at(0).at("delta");
    text += member(delta, "content", std::string());
  }
  return {text, false};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ModelServers)

// Guards against answers that differ between runs, engines, or with and without a stream.
BOOST_FIXTURE_TEST_CASE(AnswersAreDeterministic, Fixture) {
  Json body = prompt("survey [tokens=20]");
  const Answer plain = call("POST", "/v1/chat/completions", dump(body));
  BOOST_TEST(plain.End.Status == 200);
  const auto a = expected("survey [tokens=20]");
  BOOST_TEST(contentOf(plain) == testing::answerText(a, 0, 20));
  BOOST_TEST(plain.Body.at("usage").at("completion_tokens") == 20);
  bool loadSeen = false;
  for (const auto &[name, value] : plain.Headers)
    loadSeen |= name == "x-engine-load" && value.starts_with("running=");
  BOOST_TEST(loadSeen);
  body["stream"] = true;
  Url = OtherUrl;
  const Answer stream = call("POST", "/v1/chat/completions", dump(body));
  const auto [text, ended] = streamText(stream.Text);
  BOOST_TEST(ended);
  BOOST_TEST(text == contentOf(plain));
}

// Guards against a continued answer with a repeated, missing or foreign token.
BOOST_FIXTURE_TEST_CASE(ContinuationYieldsTheRest, Fixture) {
  const auto a = expected("brief [tokens=30]");
  Json body = prompt("brief [tokens=30]");
  body["continuation"] = {{"text", testing::answerText(a, 0, 12)}, {"tokens", 12}};
  const Answer rest = call("POST", "/v1/chat/completions", dump(body));
  BOOST_TEST(contentOf(rest) == testing::answerText(a, 12, 30));
  BOOST_TEST(rest.Body.at("usage").at("completion_tokens") == 30);
  body["continuation"] = {{"text", testing::answerText(a, 0, 30)}, {"tokens", 30}};
  BOOST_TEST(contentOf(call("POST", "/v1/chat/completions", dump(body))).empty());
  body["continuation"] = {{"text", testing::answerText(a, 1, 13)}, {"tokens", 12}};
  BOOST_TEST(call("POST", "/v1/chat/completions", dump(body)).End.Status == 400);
  BOOST_TEST(call("GET", "/control/counters").Body.at("bad_continuations") == 1);
}

// Guards against an exported KV cache that is computed again by the importing engine.
BOOST_FIXTURE_TEST_CASE(ImportedCacheIsNotRecomputed, Fixture) {
  const std::string content = std::string(4000, 'p') + "[tokens=40]";
  Json body = prompt(content);
  body["request_id"] = "a";
  call("POST", "/v1/chat/completions", dump(body));
  const Answer handle = call("POST", "/v1/kv/export", R"({"request_id":"a"})");
  BOOST_TEST(handle.End.Status == 200);
  body["kv_import"] = handle.Body.at("handle");
  const auto a = expected(content);
  body["continuation"] = {{"text", testing::answerText(a, 0, 10)}, {"tokens", 10}};
  Url = OtherUrl;
  const Answer rest = call("POST", "/v1/chat/completions", dump(body));
  BOOST_TEST(contentOf(rest) == testing::answerText(a, 10, 40));
  Json counters = call("GET", "/control/counters").Body;
  BOOST_TEST(counters.at("prefill_tokens") == 1);
  BOOST_TEST(counters.at("recomputed_tokens") == 0);
  // Without the blob, everything is computed.
  body["kv_import"] = "127.0.0.1:1/kv-1";
  body["messages"][0]["content"] = "x" + content;
  body.erase("continuation");
  BOOST_TEST(call("POST", "/v1/chat/completions", dump(body)).End.Status == 200);
  counters = call("GET", "/control/counters").Body;
  BOOST_TEST(counters.at("prefill_tokens") > 1000);
}

// Guards against a cancelled request that goes on, or that looks complete to its caller.
BOOST_FIXTURE_TEST_CASE(CancelledRequestEndsWithoutTerminator, Fixture) {
  Json body = prompt("long [tokens=4000]");
  body["stream"] = true;
  body["request_id"] = "c";
  Answer cut;
  start("POST", "/v1/chat/completions", dump(body), [&](const Answer &it) { cut = it; });
  wait(50ms);
  BOOST_TEST(call("POST", "/v1/chat/completions", dump(body)).End.Status == 409);
  const Answer cancelled = call("DELETE", "/v1/requests/c");
  BOOST_TEST(cancelled.End.Status == 200);
  BOOST_TEST(cancelled.Body.at("tokens") > 0);
  wait(20ms);
  BOOST_TEST((cut.End.Failure == net::HttpFailure::Broken));
  BOOST_TEST(!streamText(cut.Text).second);
  BOOST_TEST(call("DELETE", "/v1/requests/c").End.Status == 404);
  BOOST_TEST(Engine->Work.Running.empty());
  const Json log = call("GET", "/control/log").Body.at("requests");
  BOOST_TEST(log.at(0).at("state") == "cancelled");
  BOOST_TEST(log.at(0).at("started_ms") > 0);
}

// Guards against a slot that stays occupied when the caller has gone.
BOOST_FIXTURE_TEST_CASE(GoneCallerCancels, Fixture) {
  Json body = prompt("long [tokens=4000]");
  body["stream"] = true;
  const std::uint64_t id = start("POST", "/v1/chat/completions", dump(body), [](const Answer &) {});
  wait(30ms);
  BOOST_TEST(Engine->Work.Running.size() == 1U);
  net::cancelCall(*Client, id);
  wait(50ms);
  BOOST_TEST(Engine->Work.Running.empty());
}

// Guards against orders that an engine which checks fencing obeys from an old holder.
BOOST_FIXTURE_TEST_CASE(OrdersAreFencedAndIdempotent, Fixture) {
  const auto order = [&](const std::string &id, int fencing) {
    const Json body = {
        {"order_id", id}, {"fencing", fencing}, {"kind", "load_model"}, {"model", "redator"}};
    return call("POST", "/v1/orders", dump(body));
  };
  BOOST_TEST(order("o1", 5).Body.at("state") == "running");
  BOOST_TEST(order("o2", 4).End.Status == 409);
  Json body = prompt("x");
  body["model"] = "redator";
  BOOST_TEST(call("POST", "/v1/chat/completions", dump(body)).End.Status == 503);
  wait(40ms);
  BOOST_TEST(order("o1", 5).Body.at("state") == "done");
  BOOST_TEST(call("GET", "/v1/orders/o1").Body.at("state") == "done");
  BOOST_TEST(call("POST", "/v1/chat/completions", dump(body)).End.Status == 200);
  BOOST_TEST(call("POST", "/v1/chat/completions", dump(prompt("x"))).End.Status == 404);
  Url = OtherUrl;
  order("o1", 5);
  BOOST_TEST(order("o2", 4).End.Status == 200);
}

// Guards against cache events that do not match the published hash chain.
BOOST_FIXTURE_TEST_CASE(CacheEventsNameThePrefix, Fixture) {
  const std::string content(600, 'q');
  Json body = prompt(content + "[tokens=2]");
  call("POST", "/v1/chat/completions", dump(body));
  const Answer events = call("GET", "/v1/cache/events?after=0&wait_ms=1000");
  BOOST_REQUIRE(events.Body.at("events").size() == 2U);
  const auto chain =
      prefixChain("redactor", testing::promptText({{"user", content + "[tokens=2]"}}));
  char hex[17];
  std::snprintf(hex, sizeof(hex), "%016llx", static_cast<unsigned long long>(chain[1].Hash));
  // The end of a chain is added before its beginning, which is to be evicted last.
  BOOST_TEST(events.Body.at("events").at(0).at("prefix") == hex);
  BOOST_TEST(events.Body.at("events").at(0).at("tokens") == 128);
  const Answer again = call("POST", "/v1/chat/completions", dump(body));
  BOOST_TEST(again.Body.at("usage").at("cached_tokens") == 128);
}

// Guards against a frozen engine that answers, or that loses tokens when it goes on.
BOOST_FIXTURE_TEST_CASE(FrozenEngineGoesOnWhole, Fixture) {
  const Json body = prompt("f [tokens=100]");
  Answer first;
  Answer second;
  start("POST", "/v1/chat/completions", dump(body), [&](const Answer &it) { first = it; });
  wait(10ms);
  call("POST", "/control/freeze?on=true");
  start("POST", "/v1/chat/completions", dump(body), [&](const Answer &it) { second = it; });
  wait(150ms);
  BOOST_TEST(first.End.Status == 0);
  call("POST", "/control/freeze?on=false");
  wait(300ms);
  const auto a = expected("f [tokens=100]");
  BOOST_TEST(contentOf(first) == testing::answerText(a, 0, 100));
  BOOST_TEST(contentOf(second) == testing::answerText(a, 0, 100));
}

BOOST_AUTO_TEST_SUITE_END()
