#include "relay/Backends.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>

namespace chervil::relay {
namespace {

using namespace std::chrono_literals;

// Weight of one answer in the smoothed failure rate: about the last ten answers count.
constexpr double FailureRateWeight = 0.12;
// From this failure rate a server is avoided; plain services fail 14 in 100 by themselves.
constexpr double AvoidAtFailureRate = 0.4;
constexpr unsigned AvoidAfterFailures = 3;
constexpr Duration AvoidTime = 2s;
// A full server is avoided until its queue had time to move.
constexpr Duration AvoidFullTime = 300ms;
// Work at another server, in tokens read, that is accepted before a prompt leaves the holder of its
// shared part: a second copy takes memory that other parts need, and its transfer has a price.
constexpr double HolderPreferenceTokens = 7000;
// Work of fetching a shared part, in tokens read: the way of the memory takes about 20 ms.
constexpr double PrefixFetchTokens = 1500;
// Work of a running request on a server of ReferenceSlots slots, in tokens read: each slows the
// others.
constexpr double TokensPerRunningRequest = 60;
constexpr double ReferenceSlots = 64;
// Work of other nodes is forgotten after this time without news.
constexpr Duration PeerLoadLifetime = 1s;
// Servers in another data centre cost a hop of about a millisecond and traffic between data
// centres; equal load stays local.
constexpr double RemoteDataCentrePenalty = 0.3;
// How long news of a server that is leaving outlives its entry in the list.
constexpr Duration LeavingReportLifetime = 30s;

bool isExcluded(const SelectionCriteria &criteria, const std::string &id) {
  return std::ranges::find(criteria.Excluded, id) != criteria.Excluded.end();
}

bool hasRoom(const SelectionCriteria &criteria, const Backend &it) {
  return criteria.MaxInflight == 0 || it.Inflight < criteria.MaxInflight;
}

std::vector<const Backend *> eligibleServers(const Backends &backends,
                                             const SelectionCriteria &criteria, const Now &now) {
  std::vector<const Backend *> good;
  std::vector<const Backend *> avoided;
  for (const auto &[id, it] : backends.Servers) {
    if (it.Leaving || it.Entry.Service != criteria.Service || isExcluded(criteria, id) ||
        !hasRoom(criteria, it))
      continue;
    (it.AvoidUntil > now.Steady ? avoided : good).push_back(&it);
  }
  return good.empty() ? avoided : good;
}

double loadOf(const Backends &backends, const Backend &it) {
  const double perSlot =
      (static_cast<double>(it.Inflight) + 1) / std::max(1.0, double(it.Entry.Slots));
  const double far = it.Entry.DataCentre == backends.DataCentre ? 0 : RemoteDataCentrePenalty;
  return perSlot * (1 + far) * (1 + 2 * it.FailureRate);
}

const Backend *leastLoaded(const Backends &backends, const std::vector<const Backend *> &from,
                           Random &rng) {
  const Backend *best = nullptr;
  double bestLoad = 0;
  std::uniform_real_distribution<double> jitter(0.95, 1.05);
  for (const Backend *it : from) {
    const double load = loadOf(backends, *it) * jitter(rng);
    if (best == nullptr || load < bestLoad) {
      best = it;
      bestLoad = load;
    }
  }
  return best;
}

/// Rendezvous hashing: all nodes rank the servers of a part alike without talking to each other,
/// and few parts move when a server comes or goes.
const Backend *highestRanked(const std::vector<const Backend *> &from, std::uint64_t part) {
  const Backend *best = nullptr;
  std::uint64_t bestRank = 0;
  for (const Backend *it : from) {
    const std::uint64_t rank = hashBytes(it->Entry.Id, part);
    if (best == nullptr || rank > bestRank) {
      best = it;
      bestRank = rank;
    }
  }
  return best;
}

/// The first of the servers that can still be asked for what it holds; null if there is none.
const Backend *firstReachable(const Backends &backends, std::span<const std::string> holders) {
  for (const std::string &id : holders) {
    const auto it = backends.Servers.find(id);
    if (it != backends.Servers.end() && !it->second.MissingSince)
      return &it->second;
  }
  return nullptr;
}

/// Prompt tokens that a server reads before the first token of new work.
double queuedTokens(const Backend &it) {
  return it.PendingTokens + it.PeersPendingTokens +
         TokensPerRunningRequest * (it.Running + it.PeersRunning) * ReferenceSlots /
             std::max(1U, it.Entry.Slots);
}

/// The server with the least to read, the prompt's own part included. One that does not hold the
/// shared part fetches it from a holder. A part that no node knows a holder of is read by the first
/// in rank, which all nodes choose alike.
Choice chooseByPrefix(const Backends &backends, const std::vector<const Backend *> &candidates,
                      const SelectionCriteria &criteria, std::uint64_t part) {
  // The one that read the part last comes first.
  const std::span<const std::string> holders = holdersOf(backends.PrefixCache, part);
  const Backend *holder = firstReachable(backends, holders);
  const Backend *first = highestRanked(candidates, part);
  const double own = criteria.Prompt.back().Tokens;
  const auto shared = static_cast<double>(sharedPrefixTokens(criteria.Prompt));
  const double fetch = std::min(HolderPreferenceTokens, shared);
  Choice best;
  double bestCost = 0;
  for (const Backend *it : candidates) {
    const bool hasPart =
        holder == nullptr ? it == first : std::ranges::find(holders, it->Entry.Id) != holders.end();
    const double missing = hasPart ? 0 : it == first ? fetch / 2 : fetch;
    const double cost = queuedTokens(*it) + missing;
    if (best.Server != nullptr && cost >= bestCost)
      continue;
    const double toRead = holder == nullptr ? shared
                          : hasPart         ? 0
                                            : std::min(PrefixFetchTokens, shared);
    best = {it, own + toRead, hasPart ? nullptr : holder};
    bestCost = cost;
  }
  return best;
}

} // namespace

std::uint64_t sharedPrefixTokens(std::span<const PromptPart> prompt) {
  std::uint64_t tokens = 0;
  for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
    tokens += prompt[i].Tokens;
  return tokens;
}

std::optional<std::uint64_t> sharedPrefixHash(std::span<const PromptPart> prompt) {
  if (prompt.size() < 2)
    return std::nullopt;
  return prompt[prompt.size() - 2].Hash;
}

namespace {

/// News may come before the list shows the server at all, so that only a later start clears them.
void clearReportsOfEarlierStart(Backends &backends, const BackendEntry &entry) {
  const auto news = backends.LeavingReports.find(entry.Id);
  if (news != backends.LeavingReports.end() && entry.Born > news->second.Born)
    backends.LeavingReports.erase(news);
}

} // namespace

std::vector<LeavingServer> applyList(Backends &backends, std::span<const BackendEntry> list,
                                     bool keepMissing, const Now &now) {
  std::vector<LeavingServer> leaving;
  for (auto &[id, it] : backends.Servers)
    if (!it.MissingSince)
      it.MissingSince = now.Steady;
  for (const BackendEntry &entry : list) {
    const auto [known, isNew] = backends.Servers.try_emplace(entry.Id);
    Backend &it = known->second;
    const bool isOtherStart = it.Entry.Born != entry.Born || it.Entry.Address != entry.Address;
    if (isOtherStart)
      clearReportsOfEarlierStart(backends, entry);
    // What peers said of a server before it is listed here concerns its present start.
    if (isOtherStart && !isNew) {
      const unsigned inflight = it.Inflight;
      it = {};
      it.Inflight = inflight;
      removeServer(backends.PrefixCache, entry.Id);
    }
    it.MissingSince.reset();
    const bool wasLeaving = it.Leaving;
    it.Entry = entry;
    it.Leaving = entry.Draining || backends.LeavingReports.contains(entry.Id);
    if (it.Leaving && !wasLeaving)
      leaving.push_back({entry.Id, entry.Born});
  }
  std::erase_if(backends.LeavingReports, [&](const auto &news) {
    return now.Steady - news.second.At > LeavingReportLifetime;
  });
  for (auto it = backends.Servers.begin(); it != backends.Servers.end();) {
    Backend &server = it->second;
    if (server.MissingSince && !keepMissing) {
      if (!server.Leaving)
        leaving.push_back({it->first, server.Entry.Born});
      server.Leaving = true;
      if (server.Inflight == 0) {
        removeServer(backends.PrefixCache, it->first);
        it = backends.Servers.erase(it);
        continue;
      }
    }
    ++it;
  }
  return leaving;
}

bool markLeaving(Backends &backends, const LeavingServer &departure, const Now &now) {
  const auto known = backends.LeavingReports.find(departure.Id);
  if (known != backends.LeavingReports.end() && known->second.Born >= departure.Born)
    return false;
  Backend *it = find(backends, departure.Id);
  // News of an earlier start say nothing about the present one.
  if (it != nullptr && departure.Born != 0 && departure.Born < it->Entry.Born)
    return false;
  backends.LeavingReports.insert_or_assign(departure.Id, LeavingReport{departure.Born, now.Steady});
  if (it == nullptr)
    return true;
  const bool isNew = !it->Leaving;
  it->Leaving = true;
  return isNew;
}

Choice chooseServer(const Backends &backends, const SelectionCriteria &criteria, const Now &now,
                    Random &rng) {
  const std::vector<const Backend *> candidates = eligibleServers(backends, criteria, now);
  if (candidates.empty())
    return {};
  if (const auto part = sharedPrefixHash(criteria.Prompt))
    return chooseByPrefix(backends, candidates, criteria, *part);
  return {leastLoaded(backends, candidates, rng), 0, nullptr};
}

void applyPeerLoads(Backends &backends, const std::string &node, const message::BackendLoads &loads,
                    const Now &now) {
  backends.PeerLoads[node] = {now.Steady, loads};
  std::erase_if(backends.PeerLoads,
                [&](const auto &it) { return now.Steady - it.second.first > PeerLoadLifetime; });
  for (auto &[id, it] : backends.Servers)
    it.PeersRunning = it.PeersPendingTokens = 0;
  for (const auto &[name, said] : backends.PeerLoads)
    for (const message::BackendLoad &load : said.second.Loads)
      if (Backend *it = find(backends, load.Backend)) {
        it->PeersPendingTokens += load.PendingTokens;
        it->PeersRunning += load.Running;
      }
}

message::BackendLoads localLoads(const Backends &backends) {
  message::BackendLoads out;
  for (const auto &[id, it] : backends.Servers)
    if (it.Inflight > 0)
      out.Loads.push_back({id, static_cast<std::uint32_t>(std::max(0.0, it.PendingTokens)),
                           static_cast<std::uint32_t>(it.Running)});
  return out;
}

bool hasActiveServer(const Backends &backends, std::string_view service) {
  return std::ranges::any_of(backends.Servers, [&](const auto &it) {
    return !it.second.Leaving && it.second.Entry.Service == service;
  });
}

Backend *find(Backends &backends, const std::string &id) {
  const auto it = backends.Servers.find(id);
  return it == backends.Servers.end() ? nullptr : &it->second;
}

void onRequestSent(Backends &backends, const std::string &id, double pending) {
  if (Backend *it = find(backends, id)) {
    ++it->Inflight;
    it->PendingTokens += pending;
  }
}

void onFirstByte(Backends &backends, const std::string &id, double pending,
                 std::span<const PromptPart> prompt) {
  if (Backend *it = find(backends, id)) {
    ++it->Running;
    it->PendingTokens = std::max(0.0, it->PendingTokens - pending);
  }
  if (const auto part = sharedPrefixHash(prompt))
    recordHolder(backends.PrefixCache, *part, id);
}

void onRequestEnded(Backends &backends, const std::string &id, double pending, bool began) {
  Backend *it = find(backends, id);
  if (it == nullptr || it->Inflight == 0)
    return;
  --it->Inflight;
  if (began && it->Running > 0)
    --it->Running;
  if (!began)
    it->PendingTokens = std::max(0.0, it->PendingTokens - pending);
  if (it->Inflight == 0) {
    it->Running = 0;
    it->PendingTokens = 0;
  }
}

void recordOutcome(Backends &backends, const std::string &id, SendOutcome what, const Now &now) {
  Backend *it = find(backends, id);
  if (it == nullptr)
    return;
  if (what == SendOutcome::Full) {
    it->AvoidUntil = std::max(it->AvoidUntil, now.Steady + AvoidFullTime);
    return;
  }
  const bool failed = what != SendOutcome::Success;
  it->FailureRate += FailureRateWeight * ((failed ? 1.0 : 0.0) - it->FailureRate);
  it->ConsecutiveFailures = failed ? it->ConsecutiveFailures + 1 : 0;
  if (!failed && it->FailureRate < AvoidAtFailureRate)
    it->AvoidUntil = {};
  if (it->ConsecutiveFailures >= AvoidAfterFailures || it->FailureRate > AvoidAtFailureRate)
    it->AvoidUntil = now.Steady + AvoidTime;
}

} // namespace chervil::relay
