#include "daemon/AdminDetail.h"

#include <algorithm>
#include <unordered_set>

namespace chervil::daemon::detail {
namespace {

Json toJson(const NodeId &id) {
  return isSet(id) ? Json{{"name", id.Name}, {"incarnation", id.Incarnation}} : Json();
}

std::string toString(message::MemberState state) {
  switch (state) {
  case message::MemberState::Alive:
    return "alive";
  case message::MemberState::Suspect:
    return "suspect";
  case message::MemberState::Leaving:
    return "leaving";
  case message::MemberState::Dead:
    return "dead";
  }
  return "dead";
}

std::string toString(routing::BackendState state) {
  switch (state) {
  case routing::BackendState::Live:
    return "live";
  case routing::BackendState::Leaving:
    return "leaving";
  case routing::BackendState::Dead:
    return "dead";
  }
  return "dead";
}

Json toJson(const membership::Member &member, const NodeId &self) {
  const message::MemberUpdate &info = member.Info;
  Json out = {{"name", info.Id.Name},
              {"incarnation", info.Id.Incarnation},
              {"region", info.Region},
              {"data_centre", info.DataCentre},
              {"peer_address", info.PeerAddress},
              {"caller_address", info.CallerAddress},
              {"state", toString(info.State)},
              {"load", info.Load},
              {"leave_by_ms", nullptr},
              {"self", info.Id == self}};
  if (info.LeaveBy != WallTime{})
    out["leave_by_ms"] = millis(info.LeaveBy);
  return out;
}

Json toJson(const routing::Backend &backend, const routing::BackendObservations &seen) {
  return {{"name", backend.Name},
          {"address", backend.Address},
          {"kind", backend.Kind == message::WorkKind::Model ? "model" : "service"},
          {"targets", backend.Targets},
          {"zone", backend.Zone},
          {"data_centre", backend.DataCentre},
          {"class", backend.MachineClass},
          {"state", toString(backend.State)},
          {"in_use", seen.InUse},
          {"slow_factor", seen.SlowFactor},
          {"running", seen.OwnRunning + seen.OthersRunning},
          {"slots", backend.Slots},
          {"ejected", seen.Ejected}};
}

} // namespace

Json describeNodes(const node::State &state) {
  Json nodes = Json::array();
  for (const auto &[name, member] : state.Members.Members)
    nodes.push_back(toJson(member, state.Self));
  return {{"nodes", std::move(nodes)}};
}

Json describeBackends(const node::State &state) {
  const routing::State &routes = state.Routes;
  const std::unordered_set<std::uint32_t> unused(routes.Free.begin(), routes.Free.end());
  std::vector<std::uint32_t> order;
  for (std::uint32_t i = 0; i < routes.Backends.size(); ++i)
    if (!unused.contains(i))
      order.push_back(i);
  std::ranges::sort(order, {}, [&](std::uint32_t i) { return routes.Backends[i].Name; });
  Json backends = Json::array();
  for (const std::uint32_t i : order)
    backends.push_back(toJson(routes.Backends[i], routes.Observations[i]));
  return {{"backends", std::move(backends)}};
}

Json describeShard(const node::State &state, std::uint32_t shard) {
  const shard::Placement &it = state.Map.Shards[shard];
  Json out = {{"shard", shard},    {"owner", toJson(it.Owner)}, {"standby", toJson(it.Standby)},
              {"epoch", it.Epoch}, {"ready", it.Ready},         {"lost_since_ms", nullptr}};
  if (it.LostSince)
    out["lost_since_ms"] = millis(*it.LostSince);
  return out;
}

Json describeShards(const node::State &state) {
  Json shards = Json::array();
  for (std::uint32_t i = 0; i < state.Map.Shards.size(); ++i)
    shards.push_back(describeShard(state, i));
  return {{"version", state.Map.Version}, {"shards", std::move(shards)}};
}

} // namespace chervil::daemon::detail
