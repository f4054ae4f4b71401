#include "relay/BackendListSync.h"

#include "base/Hash.h"

#include <algorithm>
#include <map>
#include <string>

namespace chervil::relay {
namespace {

using namespace std::chrono_literals;

std::uint64_t hashOf(const message::BackendCopy &it) {
  std::uint64_t hash = hashPair(it.Id, it.Service);
  hash = hashBytes(it.Address, hash);
  hash = hashBytes(it.DataCentre, hash);
  hash = mixHashes(hash, it.Born);
  if (!it.Version.empty())
    hash = hashBytes(it.Version, hash);
  return mixHashes(hash, (std::uint64_t{it.Slots} << 3) | (it.Missing ? 4 : 0) |
                             (it.Draining ? 2 : 0) | (it.Reclaimable ? 1 : 0));
}

} // namespace

BackendListSnapshot takeListSnapshot(const Backends &backends) {
  BackendListSnapshot out;
  for (const auto &[id, it] : backends.Servers) {
    // An entry that expired while the store was unavailable stays in the list as long as it may
    // return.
    if (it.MissingSince && it.Leaving)
      continue;
    const BackendEntry &entry = it.Entry;
    out.push_back({entry.Id, entry.Service, entry.Address, entry.DataCentre, entry.Slots,
                   entry.Draining, entry.Reclaimable, entry.Leaves.value_or(0ms), entry.Born,
                   it.MissingSince.has_value(), entry.Version});
  }
  return out;
}

std::vector<message::BackendDeparture>
departuresOf(const Backends &backends, std::span<const message::BackendCopy> list, const Now &now) {
  std::vector<message::BackendDeparture> out;
  for (const message::BackendCopy &copy : list)
    for (message::BackendDeparture &it : departuresOf(backends.Departures, copy.Id, now))
      out.push_back(std::move(it));
  return out;
}

std::uint64_t listDigest(std::span<const message::BackendCopy> list) {
  std::uint64_t sum = list.size();
  for (const message::BackendCopy &it : list)
    sum += hashOf(it);
  return sum;
}

message::BackendListDelta diffLists(const BackendListSnapshot &before,
                                    const BackendListSnapshot &after, std::uint64_t revision) {
  message::BackendListDelta diff{revision, listDigest(before), listDigest(after), {}, {}, 0, {}};
  if (diff.Before == diff.After)
    return diff;
  std::map<std::string, std::uint64_t> old;
  for (const message::BackendCopy &it : before)
    old.emplace(it.Id, hashOf(it));
  for (const message::BackendCopy &it : after) {
    const auto known = old.find(it.Id);
    if (known == old.end() || known->second != hashOf(it))
      diff.Changed.push_back(it);
    if (known != old.end())
      old.erase(known);
  }
  for (const auto &[id, hash] : old)
    diff.Removed.push_back(id);
  return diff;
}

std::optional<BackendListSnapshot> applyListDiff(const BackendListSnapshot &own,
                                                 const message::BackendListDelta &diff) {
  if (listDigest(own) != diff.Before)
    return std::nullopt;
  std::map<std::string, message::BackendCopy> byId;
  for (const message::BackendCopy &it : own)
    byId.emplace(it.Id, it);
  for (const std::string &it : diff.Removed)
    byId.erase(it);
  for (const message::BackendCopy &it : diff.Changed)
    byId.insert_or_assign(it.Id, it);
  BackendListSnapshot out;
  out.reserve(byId.size());
  for (auto &[id, it] : byId)
    out.push_back(std::move(it));
  if (listDigest(out) != diff.After)
    return std::nullopt;
  return out;
}

std::vector<BackendEntry> toEntries(std::span<const message::BackendCopy> list) {
  std::vector<BackendEntry> out;
  for (const message::BackendCopy &it : list) {
    BackendEntry entry{it.Id,       it.Service,     it.Address,   it.DataCentre, it.Slots,
                       it.Draining, it.Reclaimable, std::nullopt, 0ms,           it.Born};
    entry.Missing = it.Missing;
    entry.Version = it.Version;
    if (it.Leaves > 0ms)
      entry.Leaves = it.Leaves;
    out.push_back(std::move(entry));
  }
  return out;
}

} // namespace chervil::relay
