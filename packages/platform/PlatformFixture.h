// A scripted HTTP service on the event loop for the tests of this package. Use:
//   BOOST_FIXTURE_TEST_CASE(Name, PlatformFixture) { answer(200, "{}"); ... runUntil(...); }
#ifndef CHERVIL_PLATFORM_PLATFORMFIXTURE_H
#define CHERVIL_PLATFORM_PLATFORMFIXTURE_H

#include "net/HttpServer.h"
#include "platform/PlatformClient.h"

#include <boost/test/unit_test.hpp>
#include <deque>

namespace chervil::platform {

struct PlatformFixture {
  net::Loop EventLoop;
  net::TimerService Timers{EventLoop};
  net::HttpServerPtr Server;
  PlatformClientPtr Client;
  std::string Url;
  std::vector<net::HttpRequest> Requests;
  /// Called for each request; answers it or not.
  std::function<void(const net::HttpRequest &)> Handler;

  PlatformFixture() { connect({}); }

  void connect(PlatformOptions options) {
    if (!Server) {
      Server = std::move(*net::startHttpServer(EventLoop, {},
                                               {[this](net::HttpRequest &&r) {
                                                  Requests.push_back(r);
                                                  if (Handler)
                                                    Handler(r);
                                                },
                                                {}}));
      Url = "http://127.0.0.1:" + std::to_string(port(*Server));
    }
    options.KvUrl = options.VmsUrl = options.CloudUrl = options.WeightsUrl = Url;
    Client = makePlatformClient(EventLoop, Timers, std::move(options));
  }

  std::string engine() const { return Url.substr(7); }

  void reply(const net::HttpRequest &r, int status, std::string body,
             net::NamedValues headers = {}) {
    respond(*Server, r.Id,
            {.Status = status, .Headers = std::move(headers), .Body = std::move(body)});
  }

  /// Answers every request with the same response.
  void answer(int status, const std::string &body, const net::NamedValues &headers = {}) {
    Handler = [this, status, body, headers](const net::HttpRequest &r) {
      reply(r, status, body, headers);
    };
  }

  /// Runs the loop until the condition holds; false after ten seconds.
  bool runUntil(const std::function<bool()> &done) {
    const TimePoint end = net::readNow().Steady + std::chrono::seconds(10);
    const net::TimerId tick = every(Timers, std::chrono::milliseconds(1), [&] {
      if (done() || net::readNow().Steady > end)
        stop(EventLoop);
    });
    run(EventLoop);
    cancel(Timers, tick);
    return done();
  }

  void runFor(Duration d) {
    after(Timers, d, [this] { stop(EventLoop); });
    run(EventLoop);
  }

  /// Runs one call to its end.
  template <typename T, typename F> CallResult<T> finish(F call) {
    std::optional<CallResult<T>> out;
    call([&](const CallResult<T> &r) { out = r; });
    BOOST_REQUIRE(runUntil([&] { return out.has_value(); }));
    return *out;
  }
};

inline std::string queryOf(const net::HttpRequest &r, std::string_view name) {
  return std::string(query(r, name).value_or("(none)"));
}

} // namespace chervil::platform

#endif
