// Fixture of the stand-ins' tests: makes HTTP calls and runs the loop until they end.
#ifndef CHERVIL_TESTING_STANDIN_HTTPFIXTURE_H
#define CHERVIL_TESTING_STANDIN_HTTPFIXTURE_H

#include "net/HttpClient.h"
#include "net/TimerService.h"
#include "testing/standin/Json.h"

#include <functional>
#include <memory>
#include <string>

namespace chervil::standin {

struct Answer {
  net::HttpEnd End;
  net::NamedValues Headers;
  std::string Text;
  Json Body;
};

struct HttpFixture {
  net::Loop EventLoop;
  net::TimerService Timers{EventLoop};
  net::HttpClientPtr Client = net::makeHttpClient(EventLoop, {});
  std::string Url;

  std::uint64_t start(const std::string &method, const std::string &path, std::string body,
                      std::function<void(const Answer &)> done, net::NamedValues headers = {}) {
    auto answer = std::make_shared<Answer>();
    // A new connection per call: libcurl would repeat a write whose answer is lost.
    return net::startCall(
        *Client,
        {.Method = method,
         .Url = Url + path,
         .Headers = std::move(headers),
         .Body = std::move(body),
         .ReuseConnection = false},
        {.OnHead = [answer](int, const net::NamedValues &head) { answer->Headers = head; },
         .OnData = [answer](std::string_view it) { answer->Text += it; },
         .OnEnd =
             [answer, done = std::move(done)](const net::HttpEnd &end) {
               answer->End = end;
               answer->Body = Json::parse(answer->Text, nullptr, false);
               done(*answer);
             }});
  }

  Answer call(const std::string &method, const std::string &path, std::string body = {},
              net::NamedValues headers = {}) {
    Answer result;
    start(
        method, path, std::move(body),
        [&](const Answer &it) {
          result = it;
          net::stop(EventLoop);
        },
        std::move(headers));
    net::run(EventLoop);
    return result;
  }

  void wait(Duration length) {
    net::after(Timers, length, [this] { net::stop(EventLoop); });
    net::run(EventLoop);
  }
};

} // namespace chervil::standin

#endif
