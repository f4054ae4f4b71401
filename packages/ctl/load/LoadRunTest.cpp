#include "ctl/load/LoadRun.h"
#include "net/HttpServer.h"
#include "testing/standin/Json.h"
#include "testing/standin/ModelServer.h"
#include "testing/standin/ServiceServer.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::load;
using namespace std::chrono_literals;
using standin::Json;

namespace {

constexpr std::string_view RequestPath = "/v1/requests/";

enum class Behaviour { Good, Cut, Moved, Truncate, Foreign, Lose };

/// A system of one node that answers as docs/design.md, section 14, says, with one fault.
struct FakeNode {
  explicit FakeNode(net::Loop &loop) {
    Http = std::move(*net::startHttpServer(
        loop, {}, {.OnRequest = [this](net::HttpRequest &&r) { serve(r); }, .OnGone = {}}));
    Address = "127.0.0.1:" + std::to_string(net::port(*Http));
  }

  void serve(const net::HttpRequest &r) {
    if (r.Path == "/v1/entry")
      return standin::reply(*Http, r.Id, 200, {{"addresses", {Address}}, {"ttl_ms", 60000}});
    if (r.Path.starts_with("/v1/services/"))
      return serveService(r);
    if (r.Path.starts_with(RequestPath))
      return serveFetch(r);
    const Json body = Json::parse(r.Body);
    const std::string key(net::header(r, "idempotency-key").value());
    const std::string prompt = body.at("messages").at(0).at("content");
    auto answer = testing::expectAnswer("m", {{"user", prompt}}, 0);
    if (Fault == Behaviour::Foreign)
      ++answer.Seed;
    Answers[key] = answer;
    const std::uint32_t half = answer.Tokens / 2;
    switch (Fault) {
    case Behaviour::Good:
    case Behaviour::Foreign:
      return send(r.Id, answer, 0, answer.Tokens, "data: [DONE]\n\n", true);
    case Behaviour::Truncate:
      return send(r.Id, answer, 0, half, "data: [DONE]\n\n", true);
    case Behaviour::Moved:
      return send(r.Id, answer, 0, half,
                  "event: moved\ndata: {\"addresses\":[\"" + Address + "\"]}\n\n", true);
    case Behaviour::Cut:
    case Behaviour::Lose:
      return send(r.Id, answer, 0, half, "data: {\"unfinished", false);
    }
  }

  void serveFetch(const net::HttpRequest &r) {
    ++Fetches;
    const std::string key = r.Path.substr(RequestPath.size());
    const std::string offset(net::query(r, "offset").value());
    if (Fault == Behaviour::Lose)
      return refuse(r.Id, 404, "request_not_found", "unknown", false);
    const testing::ExpectedAnswer &answer = Answers.at(key);
    std::uint32_t from = 0;
    while (std::to_string(testing::answerText(answer, 0, from).size()) != offset)
      ++from;
    send(r.Id, answer, from, answer.Tokens, "data: [DONE]\n\n", true);
  }

  void send(std::uint64_t id, const testing::ExpectedAnswer &answer, std::uint32_t from,
            std::uint32_t to, const std::string &last, bool whole) {
    std::string out;
    std::size_t offset = testing::answerText(answer, 0, from).size();
    for (std::uint32_t i = from; i < to; ++i) {
      const std::string token = testing::tokenText(answer, i);
      offset += token.size();
      out += "id: " + std::to_string(offset) +
             "\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + token + "\"}}]}\n\n";
    }
    net::beginStream(*Http, id,
                     {.ContentType = "text/event-stream", .Headers = {}, .Body = out + last});
    if (whole)
      net::endStream(*Http, id);
    else
      net::abortStream(*Http, id);
  }

  void refuse(std::uint64_t id, int status, const char *name, const char *outcome, bool retry) {
    standin::reply(
        *Http, id, status,
        {{"error", {{"code", 1}, {"name", name}, {"outcome", outcome}, {"retry", retry}}}});
  }

  void serveService(const net::HttpRequest &r) {
    const std::string key(net::header(r, "idempotency-key").value());
    const std::string attempt(net::header(r, "idempotency-attempt").value());
    Attempts[key].push_back(attempt);
    if (RefuseFirst && attempt == "1") {
      if (RunRefused)
        standin::countExecution(Engine->Done, key);
      return refuse(r.Id, 503, "no_standby", "not_run", !RunRefused);
    }
    for (std::uint64_t i = 0; i < RunsPerCall; ++i)
      standin::countExecution(Engine->Done, key);
    standin::reply(*Http, r.Id, 201, {{"id", Json::parse(r.Body).at("id")}});
  }

  net::HttpServerPtr Http;
  std::string Address;
  Behaviour Fault = Behaviour::Good;
  std::map<std::string, testing::ExpectedAnswer> Answers;
  int Fetches = 0;
  standin::ServiceServer *Engine = nullptr;
  bool RefuseFirst = false;
  bool RunRefused = false;
  std::uint64_t RunsPerCall = 1;
  std::map<std::string, std::vector<std::string>> Attempts;
};

struct Fixture {
  net::Loop EventLoop;
  FakeNode Node{EventLoop};
  std::unique_ptr<standin::ServiceServer> Engine = std::move(*standin::startService(EventLoop, {}));

  Fixture() { Node.Engine = Engine.get(); }

  LoadOptions options(const char *kind) {
    LoadOptions it;
    it.Work = *parseWorkload(std::string(R"({"customers":[{"name":"a","token":"t"}],"kinds":[)") +
                             kind + "]}");
    it.Entry = {Node.Address};
    it.Callers = 2;
    it.MaxRequests = 6;
    it.GiveUp = 2s;
    it.Settle = 0s;
    return it;
  }

  Report model(Behaviour fault) {
    Node.Fault = fault;
    return *runLoad(EventLoop,
                    options(R"({"name":"k","type":"model","model":"m","tokens":[8,20]})"));
  }

  Report service() {
    LoadOptions it = options(
        R"({"name":"k","type":"service","service":"s","method":"POST","path":"/bookings","repeatable":false})");
    it.Verify = {"http://127.0.0.1:" + std::to_string(net::port(*Engine->Http))};
    return *runLoad(EventLoop, std::move(it));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(LoadRuns)

// Guards against a caller that loses, repeats or accepts parts of an answer after a cut.
BOOST_FIXTURE_TEST_CASE(CutAndMovedStreamsAreResumed, Fixture) {
  BOOST_TEST((model(Behaviour::Good).Totals == Summary{.Requests = 6, .Ok = 6}));
  BOOST_TEST(Node.Fetches == 0);
  const Report cut = model(Behaviour::Cut);
  BOOST_TEST((cut.Totals == Summary{.Requests = 6, .Ok = 6}));
  BOOST_TEST(cut.Cut == 6U);
  BOOST_TEST(Node.Fetches == 6);
  const Report moved = model(Behaviour::Moved);
  BOOST_TEST((moved.Totals == Summary{.Requests = 6, .Ok = 6}));
  BOOST_TEST(moved.Moved == 6U);
  BOOST_TEST(moved.Model.FirstToken.Count == 6U);
}

// Guards against a tool that reports a broken system as a good one.
BOOST_FIXTURE_TEST_CASE(BadAnswersAreCounted, Fixture) {
  BOOST_TEST((model(Behaviour::Truncate).Totals == Summary{.Requests = 6, .Partial = 6}));
  BOOST_TEST((model(Behaviour::Foreign).Totals == Summary{.Requests = 6, .Wrong = 6}));
  BOOST_TEST((model(Behaviour::Lose).Totals == Summary{.Requests = 6, .Lost = 6}));
}

// Guards against a non-repeatable call that is sent again under the same attempt number.
BOOST_FIXTURE_TEST_CASE(NotRunRaisesTheAttempt, Fixture) {
  Node.RefuseFirst = true;
  const Report report = service();
  BOOST_TEST((report.Totals == Summary{.Requests = 6, .Ok = 6}));
  BOOST_TEST(report.RefusalsSeen.at("no_standby") == 6U);
  BOOST_TEST(report.Verified);
  for (const auto &[key, attempts] : Node.Attempts)
    BOOST_TEST((attempts == std::vector<std::string>{"1", "2"}));
}

// Guards against doubled work, work that was never done and a false not_run that go unnoticed.
BOOST_FIXTURE_TEST_CASE(ExecutionsAreCompared, Fixture) {
  Node.RunsPerCall = 2;
  BOOST_TEST((service().Totals == Summary{.Requests = 6, .Ok = 6, .Doubled = 6}));
  Node.RunsPerCall = 0;
  BOOST_TEST((service().Totals == Summary{.Requests = 6, .Lost = 6}));
  Node.RefuseFirst = Node.RunRefused = true;
  BOOST_TEST((service().Totals == Summary{.Requests = 6, .WrongNotRun = 6, .Refused = 6}));
}

// Guards against a comparison run without the system that does not check its answers.
BOOST_FIXTURE_TEST_CASE(DirectRunReachesTheEngines, Fixture) {
  standin::ModelOptions engineOptions;
  engineOptions.Model = "m";
  engineOptions.Batch.StepBase = 500us;
  const auto engine = std::move(*standin::startModel(EventLoop, std::move(engineOptions)));
  LoadOptions it = options(
      R"({"name":"k","type":"model","model":"m","tokens":[8,20]},{"name":"s","type":"service","service":"s","path":"/status/{id}"})");
  it.Entry.clear();
  it.DirectModels = {"127.0.0.1:" + std::to_string(net::port(*engine->Http))};
  it.Rate = 200;
  const auto report = runLoad(EventLoop, std::move(it));
  BOOST_REQUIRE(report.has_value());
  BOOST_TEST((report->Totals == Summary{.Requests = 6, .Ok = 6}));
  BOOST_TEST(report->Kinds.size() == 1U);
}

// Guards against a run that hangs when no node answers.
BOOST_FIXTURE_TEST_CASE(MissingEntryListEndsTheRun, Fixture) {
  LoadOptions it = options(R"({"name":"k","type":"model","model":"m"})");
  it.Entry = {"127.0.0.1:1"};
  it.EntryWait = 50ms;
  const auto report = runLoad(EventLoop, std::move(it));
  BOOST_TEST(!report.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
