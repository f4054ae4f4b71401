// A node with servers of several versions, and a holder that sends it grants, for tests.
#ifndef CHERVIL_RELAY_ROLLOUTFIXTURE_H
#define CHERVIL_RELAY_ROLLOUTFIXTURE_H

#include "relay/RelayFixture.h"

#include <map>

namespace chervil::relay::test {

/// Both services have two servers of v1 and two of v2 unless the test lists others.
struct RolloutFixture : Fixture {
  std::uint64_t Token = 1;
  std::vector<BackendEntry> Listed;
  std::uint64_t Revision = 0;

  explicit RolloutFixture(bool rollouts = true) : Fixture(0) {
    S.Settings.Rollouts = rollouts;
    list({{"v1", 2}, {"v2", 2}});
  }

  /// Lists this number of servers by version. Their ids are service, version and a letter.
  void list(const std::map<std::string, int> &versions) {
    Listed.clear();
    for (const auto &[version, count] : versions)
      for (int i = 0; i < count; ++i)
        for (const std::string service : {"app", "model"}) {
          const std::string id = service + version + char('a' + i);
          Listed.push_back({.Id = id, .Service = service, .Address = id, .DataCentre = "a"});
          Listed.back().Slots = 4;
          Listed.back().Version = version;
        }
    relist();
  }
  /// A later reading gives Listed.
  void relist() { onBackendList(S, Listed, false, Out, Time, {1, ++Revision}); }

  message::RolloutGrant grant(const std::string &target = "v2", std::uint64_t order = 5) const {
    message::RolloutGrant out;
    out.Service = "app";
    out.Target = target;
    out.Order = order;
    out.Token = Token;
    return out;
  }
  bool hear(message::RolloutGrant it) {
    bool isNew = onRolloutGrant(S, it, Out, Time);
    it.Service = "model";
    onRolloutGrant(S, it, Out, Time);
    return isNew;
  }
  void end(std::uint32_t how, const std::string &target = "v2", std::uint64_t order = 5) {
    message::RolloutGrant it = grant(target, order);
    it.Ended = how;
    hear(it);
  }
  using Fixture::end;

  message::RolloutReport report(const std::string &service = "app") {
    for (message::RolloutReport &it : buildRolloutReports(S, "n", Time))
      if (it.Service == service)
        return it;
    return {};
  }
  /// Reports, and answers the reports with a grant for all requests.
  void allow(std::uint32_t units, message::RolloutGrant it) {
    for (const message::RolloutReport &from : buildRolloutReports(S, "n", Time)) {
      it.Service = from.Service;
      it.Seq = from.Seq;
      it.Units = units;
      it.SharePermille = 1000;
      onRolloutGrant(S, it, Out, Time);
    }
  }
  void allow(std::uint32_t units) { allow(units, grant()); }
  void allowAll(bool closing = false) {
    message::RolloutGrant it = grant();
    it.Bounded = false;
    it.Closing = closing;
    allow(0, it);
  }

  const std::string &versionOf(const CallBackend &call) {
    return S.Servers.Servers.at(call.Backend).Entry.Version;
  }
  /// Sends requests and answers them; returns how many each version got.
  std::map<std::string, int> play(int count, const char *path = "/safe/x") {
    std::map<std::string, int> out;
    for (int i = 0; i < count; ++i) {
      Out.clear();
      request(path);
      const auto calls = all<CallBackend>();
      if (calls.empty()) {
        ++out["none"];
        continue;
      }
      ++out[versionOf(calls[0])];
      answer(calls[0].Call, 200);
    }
    Out.clear();
    return out;
  }
  /// Sends a request that the target gets.
  CallBackend sendToTarget(const char *path = "/safe/x") {
    allow(1);
    Out.clear();
    request(path);
    CallBackend out = call();
    BOOST_REQUIRE_EQUAL(versionOf(out), "v2");
    return out;
  }
  CallBackend sendToOld(const char *path = "/safe/x") {
    report();
    Out.clear();
    request(path);
    CallBackend out = call();
    BOOST_REQUIRE_EQUAL(versionOf(out), "v1");
    return out;
  }
};

} // namespace chervil::relay::test

#endif
