#include "daemon/CallerApi.h"
#include "net/HttpClient.h"
#include "net/TimerService.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace chervil;
using namespace chervil::daemon;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  net::Loop Loop;
  net::TimerService Timers{Loop};
  CallerApi Api;
  net::HttpServerPtr Server;
  net::HttpClientPtr Client = net::makeHttpClient(Loop, {});
  std::vector<node::Event> Events;
  std::function<void(std::uint64_t handle)> Answer;
  std::string Body;
  int Status = 0;
  net::NamedValues Headers;

  Fixture() {
    Api.Deliver = [this](node::Event e) {
      Events.push_back(e);
      if (const auto *it = std::get_if<node::CallerRequest>(&e); it != nullptr && Answer)
        Answer(it->Handle);
    };
    Api.Addresses = [](std::string_view) { return std::vector<std::string>{"10.0.0.1:80"}; };
    Server = std::move(*net::startHttpServer(
        Loop, {.MaxBody = 2000},
        {.OnRequest = [this](net::HttpRequest &&r) { onRequest(Api, *Server, r); },
         .OnGone = [this](std::uint64_t id) { onGone(Api, id); }}));
  }

  void call(net::HttpCall it) {
    Body.clear();
    it.Url = "http://127.0.0.1:" + std::to_string(net::port(*Server)) + it.Url;
    net::startCall(*Client, std::move(it),
                   {.OnHead =
                        [this](int status, const net::NamedValues &h) {
                          Status = status;
                          Headers = h;
                        },
                    .OnData = [this](std::string_view b) { Body += b; },
                    .OnEnd = [this](const net::HttpEnd &) { net::stop(Loop); }});
    const net::TimerId guard = net::after(Timers, 5s, [this] { net::stop(Loop); });
    net::run(Loop);
    net::cancel(Timers, guard);
  }

  int codeOf() const { return nlohmann::json::parse(Body)["error"]["code"].get<int>(); }
};

const char *const ChatBody =
    R"({"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]})";

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerInterface, Fixture)

// Guards against faults of callers that share a code or reach the node.
BOOST_AUTO_TEST_CASE(EachFaultHasItsOwnCode) {
  call({.Method = "POST", .Url = "/v1/chat/completions", .Body = "{"});
  BOOST_TEST(Status == 400);
  BOOST_TEST(codeOf() == 100);
  call({.Method = "POST", .Url = "/v1/chat/completions", .Body = std::string(3000, ' ')});
  BOOST_TEST(codeOf() == 102);
  call({.Method = "GET", .Url = "/v1/chat/completions"});
  BOOST_TEST(codeOf() == 104);
  call({.Method = "GET", .Url = "/nowhere"});
  BOOST_TEST(codeOf() == 105);
  call({.Method = "GET", .Url = "/v1/requests/k?offset=x"});
  BOOST_TEST(codeOf() == 112);
  BOOST_TEST(Events.empty());
}

// Guards against a stream whose events, offsets or terminator do not follow the interface.
BOOST_AUTO_TEST_CASE(StreamCarriesOffsetsAndTerminator) {
  Answer = [this](std::uint64_t handle) {
    show(Api, *Server, node::Begin{handle, "k", "m", message::CopyPlacement::Owner, false});
    show(Api, *Server, node::Bytes{handle, 0, "ab "});
    show(Api, *Server, node::Bytes{handle, 3, "cd "});
    show(Api, *Server, node::Finish{handle, 200, "text/event-stream", 2});
  };
  call({.Method = "POST",
        .Url = "/v1/chat/completions",
        .Headers = {{"Authorization", "Bearer t"}, {"Idempotency-Key", "k"}},
        .Body = ChatBody});
  BOOST_TEST(Status == 200);
  BOOST_TEST(Body.find("id: 3\n") != std::string::npos);
  BOOST_TEST(Body.find("id: 6\n") != std::string::npos);
  BOOST_TEST(Body.ends_with("data: [DONE]\n\n"));
  const auto &request = std::get<node::CallerRequest>(Events.at(0));
  BOOST_TEST(request.Token == "t");
  BOOST_TEST(request.Key == "k");
}

// Guards against an interrupted answer that ends like a whole one.
BOOST_AUTO_TEST_CASE(MovedAndRefusedStreamsHaveNoTerminator) {
  for (const bool moved : {true, false}) {
    Answer = [this, moved](std::uint64_t handle) {
      show(Api, *Server, node::Begin{handle, "k", "m", message::CopyPlacement::Owner, false});
      show(Api, *Server, node::Bytes{handle, 0, "ab "});
      if (moved)
        show(Api, *Server, node::Moved{handle, "k", 3, {"10.0.0.2:80"}});
      else
        show(Api, *Server,
             node::Refuse{handle, "k", ResultCode::BackendDied, Outcome::Unknown, 0ms, 0});
    };
    call({.Method = "POST", .Url = "/v1/chat/completions", .Body = ChatBody});
    BOOST_TEST(Body.find(moved ? "event: moved" : "event: error") != std::string::npos);
    BOOST_TEST(Body.find("[DONE]") == std::string::npos);
  }
}

// Guards against a refusal without outcome, retry hint or Retry-After.
BOOST_AUTO_TEST_CASE(RefusalStatesOutcomeAndRetry) {
  Answer = [this](std::uint64_t handle) {
    show(Api, *Server,
         node::Refuse{handle, "k", ResultCode::LimitRequests, Outcome::NotRun, 1500ms, 2});
  };
  call({.Method = "POST", .Url = "/v1/services/s/bookings", .Body = "{}"});
  BOOST_TEST(Status == 429);
  const auto error = nlohmann::json::parse(Body)["error"];
  BOOST_TEST(error["outcome"].get<std::string>() == "not_run");
  BOOST_TEST(error["next_attempt"].get<int>() == 2);
  BOOST_TEST(error["retry_after_s"].get<double>() == 1.5);
  const bool hasHeader = std::ranges::any_of(
      Headers, [](const auto &it) { return it.first == "retry-after" && it.second == "2"; });
  BOOST_TEST(hasHeader);
}

BOOST_AUTO_TEST_SUITE_END()
