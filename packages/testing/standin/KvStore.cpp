#include "testing/standin/KvStore.h"

#include <utility>

namespace chervil::standin {
namespace {

constexpr std::size_t MaxHistory = 10000;

void record(KvStore &store, const std::string &key, std::optional<std::string> value) {
  store.History.push_back({key, std::move(value), ++store.Revision});
  if (store.History.size() > MaxHistory)
    store.History.pop_front();
}

void detach(KvStore &store, const std::string &key, const std::string &lease) {
  if (const auto it = store.Leases.find(lease); it != store.Leases.end())
    it->second.Keys.erase(key);
}

} // namespace

KvReply put(KvStore &store, const std::string &key, std::string value, const PutOptions &options) {
  const auto found = store.Items.find(key);
  const std::uint64_t current = found == store.Items.end() ? 0 : found->second.Revision;
  if (options.IfRevision && *options.IfRevision != current)
    return {KvStatus::Conflict, current};
  if (!options.Lease.empty() && !store.Leases.contains(options.Lease))
    return {KvStatus::NoLease, current};
  if (found != store.Items.end())
    detach(store, key, found->second.Lease);
  record(store, key, value);
  store.Items[key] = {std::move(value), store.Revision, options.Lease};
  if (!options.Lease.empty())
    store.Leases[options.Lease].Keys.insert(key);
  return {KvStatus::Done, store.Revision};
}

KvReply remove(KvStore &store, const std::string &key, std::optional<std::uint64_t> ifRevision) {
  const auto found = store.Items.find(key);
  const std::uint64_t current = found == store.Items.end() ? 0 : found->second.Revision;
  if (current == 0 || (ifRevision && *ifRevision != current))
    return {KvStatus::Conflict, current};
  detach(store, key, found->second.Lease);
  store.Items.erase(found);
  record(store, key, std::nullopt);
  return {KvStatus::Done, store.Revision};
}

std::string addLease(KvStore &store, std::chrono::milliseconds ttl, TimePoint now) {
  std::string id = "lease-" + std::to_string(store.NextLease++);
  store.Leases[id] = {ttl, now + ttl, {}};
  return id;
}

std::optional<std::chrono::milliseconds> keepAlive(KvStore &store, const std::string &id,
                                                   TimePoint now) {
  const auto it = store.Leases.find(id);
  if (it == store.Leases.end() || it->second.End <= now)
    return std::nullopt;
  it->second.End = now + it->second.Ttl;
  return it->second.Ttl;
}

bool dropLease(KvStore &store, const std::string &id) {
  const auto it = store.Leases.find(id);
  if (it == store.Leases.end())
    return false;
  const std::set<std::string> keys = std::move(it->second.Keys);
  store.Leases.erase(it);
  for (const std::string &key : keys) {
    store.Items.erase(key);
    record(store, key, std::nullopt);
  }
  return true;
}

bool expireLeases(KvStore &store, TimePoint now) {
  std::vector<std::string> ended;
  for (const auto &[id, it] : store.Leases)
    if (it.End <= now)
      ended.push_back(id);
  const std::uint64_t before = store.Revision;
  for (const std::string &id : ended)
    dropLease(store, id);
  return store.Revision != before;
}

std::optional<std::vector<KvEvent>> eventsAfter(const KvStore &store, std::string_view prefix,
                                                std::uint64_t after) {
  const std::uint64_t dropped = store.Revision - store.History.size();
  if (after > store.Revision || after < dropped)
    return std::nullopt;
  std::vector<KvEvent> events;
  for (std::size_t i = after - dropped; i < store.History.size(); ++i)
    if (store.History[i].Key.starts_with(prefix))
      events.push_back(store.History[i]);
  return events;
}

} // namespace chervil::standin
