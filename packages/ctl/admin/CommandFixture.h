// Runs operators' commands against a small HTTP server on its own thread, for tests. Use:
//   CommandFixture f; f.Answer = {200, R"({"nodes":[]})"}; f.run(nodesCommand, {"nodes"});
#ifndef CHERVIL_CTL_ADMIN_COMMANDFIXTURE_H
#define CHERVIL_CTL_ADMIN_COMMANDFIXTURE_H

#include "ctl/admin/Commands.h"
#include "net/HttpServer.h"
#include "net/TimerService.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace chervil::ctl {

/// A status of 0 closes the connection without an answer, after the request was received.
struct ScriptedAnswer {
  int Status = 200;
  std::string Body = "{}";
};

struct CommandFixture {
  /// Answers in the order of requests; the last one is repeated. Set before run().
  std::vector<ScriptedAnswer> Answers{{}};
  /// Requests received; read after run().
  std::vector<net::HttpRequest> Requests;
  std::string Address;
  std::ostringstream Out;
  std::ostringstream Err;

  CommandFixture() {
    Server = std::move(*net::startHttpServer(
        EventLoop, {}, {[this](net::HttpRequest &&r) { serve(std::move(r)); }, {}}));
    Address = "127.0.0.1:" + std::to_string(port(*Server));
    net::every(Timers, std::chrono::milliseconds(1), [this] {
      if (Stop)
        net::stop(EventLoop);
    });
    // Commands run a loop of their own, so the server needs another thread.
    Thread = std::thread([this] { net::run(EventLoop); });
  }

  ~CommandFixture() {
    Stop = true;
    Thread.join();
    for (const std::string &it : Files)
      std::remove(it.c_str());
  }

  /// Runs a command against the server, or against `admin`.
  int run(int (*command)(const std::vector<std::string> &, Streams), std::vector<std::string> args,
          const std::string &admin = "") {
    Out.str("");
    Err.str("");
    if (admin != "none") {
      args.emplace_back("--admin");
      args.push_back(admin.empty() ? Address : admin);
      args.emplace_back("--token-file");
      args.push_back(file("admin-token\n"));
    }
    return command(args, {Out, Err});
  }

  /// A file with this content, removed with the fixture.
  std::string file(const std::string &content) {
    Files.push_back("ctl_admin_test." + std::to_string(::getpid()) + "." +
                    std::to_string(Files.size()));
    std::ofstream(Files.back()) << content;
    return Files.back();
  }

  bool printed(const std::string &part) const {
    return Out.str().find(part) != std::string::npos || Err.str().find(part) != std::string::npos;
  }

private:
  void serve(net::HttpRequest &&r) {
    const ScriptedAnswer &it = Answers[std::min(Requests.size(), Answers.size() - 1)];
    const std::uint64_t id = r.Id;
    Requests.push_back(std::move(r));
    if (it.Status == 0)
      net::abortStream(*Server, id);
    else
      net::respond(*Server, id, {.Status = it.Status, .Body = it.Body});
  }

  net::Loop EventLoop;
  net::TimerService Timers{EventLoop};
  net::HttpServerPtr Server;
  std::atomic<bool> Stop{false};
  std::vector<std::string> Files;
  std::thread Thread;
};

inline std::string refusal(const char *name,
                           const nlohmann::json &more = nlohmann::json::object()) {
  nlohmann::json error = {{"code", 1}, {"name", name}, {"outcome", "not_run"}, {"message", "why"}};
  error.update(more);
  return nlohmann::json{{"error", error}}.dump();
}

} // namespace chervil::ctl

#endif
