// One node's request handling for tests: the test supplies events, time and answers.
#ifndef CHERVIL_RELAY_RELAYFIXTURE_H
#define CHERVIL_RELAY_RELAYFIXTURE_H

#include "relay/Relay.h"

#include <boost/test/unit_test.hpp>

namespace chervil::relay::test {

using namespace std::chrono_literals;

inline Route route(const char *name, const char *prefix, RouteKind kind, const char *service) {
  Route out;
  out.Name = name;
  out.Host = "h";
  out.PathPrefix = prefix;
  out.Kind = kind;
  out.Timeout = 3000ms;
  out.Services = {{service, 1}};
  out.MaxAttempts = 2;
  return out;
}

inline Configuration configuration(std::uint64_t version = 1) {
  Configuration out;
  out.Version = version;
  out.Routes = {route("safe", "/safe/", RouteKind::Idempotent, "app"),
                route("unsafe", "/unsafe/", RouteKind::NonIdempotent, "app"),
                route("once", "/once/", RouteKind::Stream, "model"),
                route("resumed", "/resumed/", RouteKind::Stream, "model")};
  out.Routes[3].Resumable = true;
  out.Services["app"] = {.Name = "app", .MaxConnections = 100};
  out.Services["model"] = {.Name = "model", .MaxConnections = 100};
  Workspace workspace;
  workspace.Name = "w";
  workspace.Keys = {"key"};
  out.Workspaces = {workspace};
  return buildIndexes(std::move(out));
}

/// Three servers of each service unless the test asks for another number.
struct Fixture {
  State S = makeState({.Node = "n", .DataCentre = "a"});
  Random Rng{1};
  Now Time{TimePoint(1000s), WallTime(1000s)};
  Effects Out;
  std::uint64_t NextId = 1;

  explicit Fixture(unsigned servers = 3) {
    configure(S, std::make_shared<const Configuration>(configuration()));
    std::vector<BackendEntry> list;
    for (unsigned i = 0; i < servers; ++i)
      for (const char *service : {"app", "model"})
        list.push_back({.Id = std::string(service) + std::to_string(i),
                        .Service = service,
                        .Address = "10.0.0.1:" + std::to_string(list.size() + 1),
                        .DataCentre = "a",
                        .Slots = 4});
    onBackendList(S, list, false, Out, Time);
    Out.clear();
  }

  RequestId request(const char *path, const char *key = "key", std::uint64_t content = 7) {
    RequestInfo info;
    info.AttemptId = "a" + std::to_string(NextId);
    info.Host = "h:80";
    info.Path = path;
    info.Key = key;
    info.Deadline = 2000ms;
    info.ContentHash = content;
    onRequest(S, NextId, info, Time.Steady, Out, Time, Rng);
    return NextId++;
  }

  template <typename T> std::vector<T> all() const {
    std::vector<T> out;
    for (const Effect &it : Out)
      if (const T *e = std::get_if<T>(&it))
        out.push_back(*e);
    return out;
  }
  template <typename T> T only() {
    const auto found = all<T>();
    BOOST_REQUIRE_EQUAL(found.size(), 1U);
    return found[0];
  }
  /// Returns the last call to a server.
  CallBackend call() {
    const auto found = all<CallBackend>();
    BOOST_REQUIRE(!found.empty());
    return found.back();
  }

  void head(CallId id, int status, bool genuine = true, bool notRun = false) {
    onBackendHead(S, id, {.Status = status, .IsGenuine = genuine, .NotRun = notRun}, Out, Time,
                  Rng);
  }
  void bytes(CallId id, std::string_view text) { onBackendBytes(S, id, text, Out, Time, Rng); }
  void end(CallId id, BackendEnd how) { onBackendEnd(S, id, how, Out, Time, Rng); }
  void answer(CallId id, int status, const char *body = "x") {
    head(id, status);
    bytes(id, body);
    end(id, BackendEnd::Complete);
  }
  void wait(Duration time) {
    Time.Steady += time;
    tick(S, Out, Time, Rng);
  }
};

} // namespace chervil::relay::test

#endif
