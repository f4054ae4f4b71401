// A whole node with stand-ins of the platform's store and backend servers, for tests.
#ifndef CHERVIL_DAEMON_EDGE_EDGEFIXTURE_H
#define CHERVIL_DAEMON_EDGE_EDGEFIXTURE_H

#include "daemon/edge/Edge.h"
#include "http/TestNet.h"
#include "platform/testing/PlatformStandIn.h"
#include "settings/ParseNodeSettings.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace chervil::daemon::test {

using namespace std::chrono_literals;
using adapter::Json;
using adapter::test::BackendStandIn;
using adapter::test::StoreStandIn;

inline Json route(const char *name, const char *prefix, const char *kind, const char *service,
                  bool resumable = false) {
  return {{"name", name},
          {"host", "h.example"},
          {"path-prefix", prefix},
          {"route-kind", kind},
          {"service", service},
          {"timeout-ms", 1500},
          {"max-attempts", 2},
          {"target-latency-ms", 300},
          {"stream-resume", resumable},
          {"session-affinity", true}};
}

inline Json configurationDocument(std::uint64_t version) {
  return {{"version", version},
          {"routes",
           {route("safe", "/app/", "safe", "app"), route("unsafe", "/app/book/", "unsafe", "app"),
            route("resumed", "/draft/", "streaming", "model", true)}},
          {"services", {{{"name", "app"}}, {{"name", "model"}}}},
          {"tenants", {{{"name", "w"}, {"api-keys", {"key"}}}}}};
}

inline NodeSettings settingsFor(const std::string &store) {
  const std::string text = "[node]\nname = n1\nregion = r\ndata_centre = z\n"
                           "peer_listen = 127.0.0.1:0\ncaller_listen = 127.0.0.1:0\n"
                           "admin_listen = 127.0.0.1:0\npeer_secret = 0123456789abcdef\n"
                           "admin_token = operator-token\n[edge]\nstore_address = " +
                           store + "\n";
  return std::move(*parseNodeSettings(text, "node.ini"));
}

struct Answer {
  int Status = 0;
  std::string Body;
  http::Fields Fields;
  bool Ended = false;
  http::Failure Failure = http::Failure::None;
};

/// Stand-ins need the loop, which the node owns, and the node needs the store's address.
struct Fixture {
  std::unique_ptr<Edge> Node;
  StoreStandIn Store;
  BackendStandIn A{.Id = "a", .Server = {}, .Ran = {}, .Gone = 0, .Behave = {}};
  BackendStandIn B{.Id = "b", .Server = {}, .Ran = {}, .Gone = 0, .Behave = {}};
  BackendStandIn M{.Id = "m", .Server = {}, .Ran = {}, .Gone = 0, .Behave = {}};
  BackendStandIn N{.Id = "n", .Server = {}, .Ran = {}, .Gone = 0, .Behave = {}};
  http::ClientPtr Caller;

  Fixture() {
    Node = std::make_unique<Edge>(settingsFor("127.0.0.1:1"), "");
    Node->Log.Descriptor = -1;
    Store.start(Node->Loop, Node->Timers);
    Node->Settings.Edge.StoreAddress = Store.address();
    // The address listened on, whose port is known later.
    Node->Settings.Node.PeerAdvertise.clear();
    Store.put("op/config", configurationDocument(1));
    for (BackendStandIn *it : {&A, &B, &M, &N}) {
      it->start(Node->Loop, Node->Timers);
      announce(*it, "ready");
    }
    // Entries of other writers must not disturb the rest.
    Store.put("servers/x", {{"service", 7}, {"state", "ready"}});
    BOOST_REQUIRE(start(*Node).has_value());
    Caller = http::makeClient(Node->Loop, Node->Timers, {});
    BOOST_REQUIRE(runUntil([&] { return isReady(*Node); }));
  }
  ~Fixture() {
    Caller.reset();
    for (BackendStandIn *it : {&A, &B, &M, &N})
      it->Server.reset();
    Store.Server.reset();
  }

  void announce(const BackendStandIn &it, const char *state, const std::string &address = {},
                const char *version = "") {
    const bool model = it.Id == "m" || it.Id == "n";
    Json entry = {{"service", model ? "model" : "app"},
                  {"address", address.empty() ? it.address() : address},
                  {"zone", "z"},
                  {"slots", 4},
                  {"state", state},
                  {"sequence", 1}};
    if (*version != '\0')
      entry["version"] = version;
    Store.put("servers/" + it.Id, entry);
  }

  bool runUntil(const std::function<bool()> &holds,
                std::chrono::milliseconds within = std::chrono::milliseconds(5000)) {
    const TimePoint end = net::readNow().Steady + within;
    while (!holds()) {
      if (net::readNow().Steady >= end)
        return false;
      ev_run(Node->Loop.Raw.get(), EVRUN_ONCE);
    }
    return true;
  }

  std::uint64_t send(Answer &to, const char *method, const char *path, const char *key = "key") {
    http::Call call;
    call.Address = "127.0.0.1:" + std::to_string(http::port(*Node->Callers));
    call.Head = {method,
                 path,
                 {{"Host", "h.example"},
                  {"Attempt-Id", "9c41"},
                  {"Deadline-Ms", "2000"},
                  {"X-Api-Key", key}}};
    return http::startCall(*Caller, std::move(call),
                           {.OnHead =
                                [&to](const http::ResponseHead &h) {
                                  to.Status = h.Status;
                                  to.Fields = h.Fields;
                                },
                            .OnData = [&to](std::string_view bytes) { to.Body += bytes; },
                            .OnEnd =
                                [&to](const http::End &end) {
                                  to.Ended = true;
                                  to.Failure = end.Failure;
                                }});
  }

  Answer ask(const char *method, const char *path, const char *key = "key") {
    Answer out;
    send(out, method, path, key);
    BOOST_TEST(runUntil([&] { return out.Ended; }));
    return out;
  }
};

} // namespace chervil::daemon::test

#endif
