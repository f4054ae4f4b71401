#include "membership/Queries.h"

#include "base/Hash.h"

#include <algorithm>
#include <tuple>

namespace chervil::membership {

using message::MemberState;

const Member &self(const State &state) { return state.Members.at(state.SelfName); }

bool isLive(const Member &member) {
  return member.Info.State != MemberState::Dead && !member.Info.PeerAddress.empty();
}

bool isLeaving(const Member &member) { return member.Info.LeaveBy != WallTime{}; }

std::vector<const Member *> live(const State &state) {
  std::vector<const Member *> list;
  list.reserve(state.Members.size());
  for (const auto &[name, it] : state.Members)
    if (isLive(it))
      list.push_back(&it);
  return list;
}

const Member *findByName(const State &state, std::string_view name) {
  const auto it = state.Members.find(std::string(name));
  return it == state.Members.end() ? nullptr : &it->second;
}

const Member *find(const State &state, const NodeId &id) {
  const Member *it = findByName(state, id.Name);
  return it != nullptr && it->Info.Id == id ? it : nullptr;
}

bool isLeaving(const State &state, const NodeId &id) {
  const Member *it = find(state, id);
  return it != nullptr && isLeaving(*it);
}

std::map<std::string, std::vector<NodeId>> watchers(const State &state) {
  constexpr std::size_t perDataCentre = 2;
  std::map<std::string, std::vector<NodeId>> result;
  for (const bool leaving : {false, true})
    for (const auto &[name, it] : state.Members) {
      if (!isLive(it) || isLeaving(it) != leaving)
        continue;
      auto &ids = result[it.Info.DataCentre];
      if (ids.size() < perDataCentre)
        ids.push_back(it.Info.Id);
    }
  return result;
}

bool isWatcher(const State &state, const NodeId &id) {
  const Member *it = find(state, id);
  if (it == nullptr)
    return false;
  const auto all = watchers(state);
  const auto ids = all.find(it->Info.DataCentre);
  return ids != all.end() && std::ranges::find(ids->second, id) != ids->second.end();
}

std::vector<const Member *> entryList(const State &state, std::string_view caller,
                                      std::size_t limit) {
  // Width in percent of the steps in which loads count as equal.
  constexpr int loadStep = 25;
  using Key = std::tuple<int, int, std::uint64_t, std::string_view>;
  std::vector<std::pair<Key, const Member *>> ranked;
  int best = 2;
  for (const auto &[name, it] : state.Members) {
    if (!isLive(it) || isLeaving(it))
      continue;
    int rank = 0;
    if (it.Info.State == MemberState::Suspect)
      rank = 2;
    else if (it.Info.Load >= state.Settings.OverloadThreshold)
      rank = 1;
    best = std::min(best, rank);
    ranked.push_back({{rank, it.Info.Load / loadStep, hashPair(caller, name), name}, &it});
  }
  std::erase_if(ranked, [best](const auto &it) { return std::get<0>(it.first) != best; });
  std::ranges::sort(ranked, {}, [](const auto &it) { return it.first; });
  std::vector<const Member *> list;
  for (std::size_t i = 0; i < ranked.size() && i < limit; ++i)
    list.push_back(ranked[i].second);
  return list;
}

bool isSettled(const State &state, const Now &now) {
  const bool alone = state.Seeds.empty() && state.Members.size() == 1;
  return state.Settled || (alone && now.Steady - state.StartedAt >= state.Settings.JoinTime);
}

std::set<std::string> unreachableRegions(const State &state, const Now &now) {
  const auto isRecent = [&](const auto &it) {
    return now.Steady - it.second < state.Settings.RegionTimeout;
  };
  std::set<std::string> regions;
  if (std::ranges::none_of(state.RegionHeardAt, isRecent))
    return regions;
  const std::string &own = self(state).Info.Region;
  for (const auto &[name, it] : state.Members) {
    const auto heard = state.RegionHeardAt.find(it.Info.Region);
    if (it.Info.Region != own && !isLeaving(it) && heard != state.RegionHeardAt.end() &&
        !isRecent(*heard))
      regions.insert(it.Info.Region);
  }
  return regions;
}

} // namespace chervil::membership
