#include "config/Store.h"

#include "base/Hash.h"
#include "contract/JsonReader.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace chervil::config {
namespace {

std::uint64_t hashOf(const std::string &name, std::uint64_t version) {
  return hashBytes(name, version);
}

// Adds a document to the effects and subtracts its size in bytes from the budget. Returns false if
// the budget does not suffice, except that the first document is always sent.
bool send(Effects &effects, const NodeId &to, const std::string &name, const Document &document,
          std::size_t &budget) {
  const std::size_t size = name.size() + document.Body.size();
  if (size > budget && budget != MaxAnswerBytes)
    return false;
  effects.Sends.push_back({to, message::DocUpdate{name, document.Version, document.Body}});
  budget -= std::min(size, budget);
  return true;
}

// Time since this node last sent a digest.
Duration sinceDigest(const Store &store, const Now &now) {
  return store.LastDigest ? now.Steady - *store.LastDigest : Duration::max();
}

message::DocDigest makeDigest(const Store &store) {
  message::DocDigest digest;
  digest.Versions.reserve(store.Documents.size());
  for (const auto &[name, document] : store.Documents)
    digest.Versions.push_back({name, document.Version});
  return digest;
}

void sendDigest(Store &store, const NodeId &to, const Now &now, Effects &effects) {
  store.LastDigest = now.Steady;
  effects.Sends.push_back({to, makeDigest(store)});
}

std::uint64_t heldVersion(const Store &store, const std::string &name) {
  const Document *document = find(store, name);
  return document == nullptr ? 0 : document->Version;
}

Duration transferTime(std::size_t bytes) {
  return Duration(std::chrono::seconds(1)) * static_cast<std::int64_t>(bytes) /
         static_cast<std::int64_t>(RequestBytesPerSecond);
}

bool mayRequest(const Store &store, const std::string &name, const KnownVersion &known,
                const Now &now) {
  return known.Version > heldVersion(store, name) && now.Steady >= known.NextRequest;
}

void onRequestSent(const Store &store, const std::string &name, KnownVersion &known,
                   const Now &now) {
  const Document *document = find(store, name);
  const std::size_t bytes = document == nullptr ? 0 : document->Body.size();
  known.RequestedAt = now.Steady;
  known.NextRequest = now.Steady + std::max(RequestTimeout, transferTime(bytes));
}

/// The answer to a request has arrived. The next one waits until the average rate allows it.
void onAnswerArrived(Store &store, const message::DocUpdate &update) {
  const auto it = store.KnownVersions.find(update.Name);
  if (it == store.KnownVersions.end() || !it->second.RequestedAt)
    return;
  KnownVersion &known = it->second;
  known.NextRequest = *known.RequestedAt + transferTime(update.Body.size());
  known.RequestedAt.reset();
}

/// Requests each missing version from one of the nodes that hold it.
void requestMissing(Store &store, Random &rng, const Now &now, Effects &effects) {
  for (auto &[name, known] : store.KnownVersions) {
    if (known.Holders.empty() || !mayRequest(store, name, known, now))
      continue;
    std::uniform_int_distribution<std::size_t> pick(0, known.Holders.size() - 1);
    effects.Sends.push_back({known.Holders[pick(rng)], message::DocRequest{{name}}});
    onRequestSent(store, name, known, now);
  }
}

} // namespace

std::optional<AppliedDocument> applyUpdate(Store &store, const message::DocUpdate &update,
                                           const Now &now) {
  if (update.Version == 0 || update.Name.empty())
    return std::nullopt;
  onAnswerArrived(store, update);
  Document &document = store.Documents[update.Name];
  if (update.Version <= document.Version)
    return std::nullopt;
  const AppliedDocument applied{update.Name, document.Version, update.Version};
  if (document.Version != 0)
    store.Hash ^= hashOf(update.Name, document.Version);
  store.Hash ^= hashOf(update.Name, update.Version);
  document = {update.Version, update.Body};
  if (std::ranges::find(store.UpdatedNames, update.Name) == store.UpdatedNames.end())
    store.UpdatedNames.push_back(update.Name);
  store.LastChange = now.Steady;
  return applied;
}

const Document *find(const Store &store, const std::string &name) {
  const auto it = store.Documents.find(name);
  return it == store.Documents.end() ? nullptr : &it->second;
}

Effects onUpdate(Store &store, const message::DocUpdate &update, const Now &now) {
  Effects effects;
  if (auto applied = applyUpdate(store, update, now))
    effects.Changes.push_back(*std::move(applied));
  return effects;
}

void noteVersion(Store &store, const std::string &name, std::uint64_t version,
                 const NodeId &holder) {
  if (version <= heldVersion(store, name))
    return;
  KnownVersion &known = store.KnownVersions[name];
  if (version < known.Version)
    return;
  if (version > known.Version)
    known.Holders.clear();
  known.Version = version;
  const bool isNew = std::ranges::find(known.Holders, holder) == known.Holders.end();
  if (isNew && known.Holders.size() < MaxHolders)
    known.Holders.push_back(holder);
}

Effects onDigest(Store &store, const NodeId &from, const message::DocDigest &digest,
                 const Now &now) {
  Effects effects;
  std::map<std::string_view, std::uint64_t> peerVersions;
  message::DocRequest request;
  for (const message::DocVersion &it : digest.Versions) {
    peerVersions[it.Name] = it.Version;
    if (it.Version <= heldVersion(store, it.Name))
      continue;
    noteVersion(store, it.Name, it.Version, from);
    KnownVersion &known = store.KnownVersions[it.Name];
    if (it.Version < known.Version || !mayRequest(store, it.Name, known, now))
      continue;
    onRequestSent(store, it.Name, known, now);
    request.Names.push_back(it.Name);
  }
  if (!request.Names.empty())
    effects.Sends.push_back({from, std::move(request)});
  std::size_t budget = MaxAnswerBytes;
  bool holdsNewerLarge = false;
  for (const auto &[name, document] : store.Documents) {
    const auto it = peerVersions.find(name);
    const std::uint64_t version = it == peerVersions.end() ? 0 : it->second;
    if (version >= document.Version)
      continue;
    // The peer may be receiving a large document from another node already.
    if (document.Body.size() > MaxForwardedBytes)
      holdsNewerLarge = true;
    else if (!send(effects, from, name, document, budget))
      break;
  }
  if (holdsNewerLarge)
    effects.Sends.push_back({from, makeDigest(store)});
  return effects;
}

Effects onRequest(const Store &store, const NodeId &from, const message::DocRequest &request) {
  Effects effects;
  std::size_t budget = MaxAnswerBytes;
  for (const std::string &name : request.Names) {
    const Document *document = find(store, name);
    if (document != nullptr && !send(effects, from, name, *document, budget))
      break;
  }
  return effects;
}

Effects onPeerHash(Store &store, const NodeId &from, std::uint64_t hash, const Now &now) {
  Effects effects;
  if (hash == store.Hash)
    store.PendingMismatch.reset();
  else if (!store.Documents.empty() && !store.PendingMismatch)
    store.PendingMismatch = HashMismatch{from, hash, now.Steady};
  else if (store.Documents.empty() && sinceDigest(store, now) >= DigestInterval)
    sendDigest(store, from, now, effects);
  return effects;
}

Effects disseminate(Store &store, std::span<const NodeId> members, Random &rng, const Now &now) {
  Effects effects;
  for (const std::string &name : store.UpdatedNames) {
    const Document &document = store.Documents.at(name);
    std::vector<NodeId> chosen;
    std::ranges::sample(members, std::back_inserter(chosen), DisseminationFanout, rng);
    for (NodeId &it : chosen) {
      if (document.Body.size() > MaxForwardedBytes)
        effects.Sends.push_back({std::move(it), makeDigest(store)});
      else
        effects.Sends.push_back(
            {std::move(it), message::DocUpdate{name, document.Version, document.Body}});
    }
  }
  store.UpdatedNames.clear();
  requestMissing(store, rng, now, effects);
  if (!store.PendingMismatch || now.Steady - store.PendingMismatch->Since < DigestQuietTime)
    return effects;
  const HashMismatch pending = *std::exchange(store.PendingMismatch, std::nullopt);
  const bool quiet = !store.LastChange || *store.LastChange <= pending.Since;
  const Duration minInterval = quiet ? DigestInterval : MaxDigestDelay;
  if (pending.Hash != store.Hash && sinceDigest(store, now) >= minInterval)
    sendDigest(store, pending.Peer, now, effects);
  return effects;
}

Result<message::DocUpdate> makeDocUpdate(std::string name, std::string body) {
  const auto value = detail::parseObject(body);
  if (!value)
    return tl::make_unexpected(value.error());
  detail::JsonReader reader;
  const std::uint64_t version = detail::readInteger(
      reader, *value, "", "version", {1, std::numeric_limits<std::int64_t>::max()}, std::nullopt);
  if (!reader.Faults.empty())
    return fail(ResultCode::BadContract, name + ": " + reader.Faults.front());
  return message::DocUpdate{std::move(name), version, std::move(body)};
}

} // namespace chervil::config
