#include "relay/Backends.h"

#include "balance/Choose.h"
#include "base/Hash.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <set>

namespace chervil::relay {
namespace {

using namespace std::chrono_literals;

// Weight of one answer in the smoothed failure rate. About the last ten answers count.
constexpr double FailureRateWeight = 0.12;
// A server with a failure rate above this is avoided. Services other than engines fail 14 in 100
// requests in normal operation.
constexpr double AvoidAtFailureRate = 0.4;
// A server is avoided after this many consecutive failures.
constexpr unsigned AvoidAfterFailures = 3;
// How long a failing server is avoided.
constexpr Duration AvoidTime = 2s;
// A full server is avoided for this long, which gives its queue time to shorten.
constexpr Duration AvoidFullTime = 300ms;
// Extra queued prompt tokens that a holder of the shared prefix may have before another server is
// preferred. A second copy takes cache memory from other prefixes, and its transfer has a price.
constexpr double HolderPreferenceTokens = 7000;
// Cost of fetching a shared prefix, in prompt tokens read: the transfer takes about 20 ms.
constexpr double PrefixFetchTokens = 1500;
// Cost of a running request on a server with ReferenceSlots slots, in prompt tokens read: each
// running request slows down the others.
constexpr double TokensPerRunningRequest = 60;
constexpr double ReferenceSlots = 64;
// A server that limits its requests limits their number and not their tokens, so that it is best
// used for long prompts. A shorter prompt goes to it only if it waits longer elsewhere by the
// difference.
constexpr double LimitedServerTokens = 4000;
// Relative load added to servers in another data centre. They cost a network hop of about a
// millisecond and traffic between data centres, so local servers are preferred at equal load.
constexpr double RemoteDataCentrePenalty = 0.3;

// Reports that stopped are taken to be lost for this time, and this node's own requests for a
// sample of those of all nodes. Nodes without work stop to report too.
constexpr Duration LostReportsTime = 10s;
// Requests with fewer tokens before their first one are no samples of the speed: most of their time
// is set-up.
constexpr double MinSampleTokens = 200;

using Homes = std::array<const Backend *, balance::HomesPerPrefix>;

bool isExcluded(const SelectionCriteria &criteria, const std::string &id) {
  return std::ranges::find(criteria.Excluded, id) != criteria.Excluded.end();
}

bool hasFreeCapacity(const SelectionCriteria &criteria, const Backend &it) {
  return criteria.MaxInflight == 0 || it.Inflight < criteria.MaxInflight;
}

bool passesLimit(const SelectionCriteria &criteria, const Backend &it, const Now &now) {
  using enum SelectionCriteria::LimitedServers;
  if (!isLimited(it) || criteria.Limited == All)
    return true;
  return criteria.Limited == Claimable && !it.ClaimPending && now.Steady >= it.ClaimDeniedUntil;
}

bool isEligible(const SelectionCriteria &criteria, const Backend &it, const Now &now) {
  const std::string &id = it.Entry.Id;
  return !it.Leaving && it.Entry.Service == criteria.Service && !isExcluded(criteria, id) &&
         now.Steady >= it.NothingUntil && (criteria.Only.empty() || criteria.Only == id) &&
         hasFreeCapacity(criteria, it) && passesLimit(criteria, it, now);
}

bool hasAllowedVersion(const SelectionCriteria &criteria, const Backend &it) {
  return !criteria.Versions || allows(*criteria.Versions, it.Entry.Version);
}

std::uint64_t rankOf(const VersionFilter &filter, const Backend &it) {
  return hashBytes(it.Entry.Id, filter.Order);
}

/// Returns the lowest rank of the servers to which VersionFilter::Servers restricts the choice. It
/// does not depend on what only this node knows, so that all nodes use the same servers.
std::uint64_t leastRank(const Backends &backends, const SelectionCriteria &criteria) {
  const VersionFilter &filter = *criteria.Versions;
  if (filter.Servers == 0)
    return 0;
  std::vector<std::uint64_t> ranks;
  for (const auto &[id, it] : backends.Servers)
    if (!it.Leaving && it.Entry.Service == criteria.Service && hasAllowedVersion(criteria, it))
      ranks.push_back(rankOf(filter, it));
  if (ranks.size() <= filter.Servers)
    return 0;
  std::ranges::nth_element(ranks, ranks.begin() + (filter.Servers - 1), std::greater<>());
  return ranks[filter.Servers - 1];
}

/// Removes the servers whose version is not allowed or whose rank is too low.
void keepAllowed(std::vector<const Backend *> &from, const SelectionCriteria &criteria,
                 std::uint64_t least) {
  std::erase_if(from, [&](const Backend *it) {
    return !hasAllowedVersion(criteria, *it) || rankOf(*criteria.Versions, *it) < least;
  });
}

std::vector<const Backend *> eligibleServers(const Backends &backends,
                                             const SelectionCriteria &criteria, const Now &now) {
  std::vector<const Backend *> good;
  std::vector<const Backend *> avoided;
  for (const auto &[id, it] : backends.Servers) {
    if (!isEligible(criteria, it, now))
      continue;
    (it.AvoidUntil > now.Steady ? avoided : good).push_back(&it);
  }
  if (criteria.Versions) {
    const std::uint64_t least = leastRank(backends, criteria);
    keepAllowed(good, criteria, least);
    keepAllowed(avoided, criteria, least);
  }
  return good.empty() ? avoided : good;
}

double loadOf(const Backends &backends, const Backend &it) {
  const double perSlot =
      (static_cast<double>(it.Inflight) + 1) / std::max(1.0, double(it.Entry.Slots));
  const double distancePenalty =
      it.Entry.DataCentre == backends.DataCentre ? 0 : RemoteDataCentrePenalty;
  return perSlot * (1 + distancePenalty) * (1 + 2 * it.FailureRate);
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

/// Rendezvous hashing: all nodes rank the servers for a prefix alike without communication, and few
/// prefixes move when a server is added or removed. Returns those with the highest ranks in order;
/// null where there are fewer.
Homes homesOf(const std::vector<const Backend *> &from, std::uint64_t prefix) {
  Homes best{};
  std::array<std::uint64_t, balance::HomesPerPrefix> ranks{};
  for (const Backend *it : from) {
    std::uint64_t rank = hashBytes(it->Entry.Id, prefix);
    for (std::size_t i = 0; i < best.size() && it != nullptr; ++i)
      if (best[i] == nullptr || rank > ranks[i]) {
        std::swap(best[i], it);
        std::swap(ranks[i], rank);
      }
  }
  return best;
}

/// Returns the first holder of an allowed version that is still listed, so that a prefix can be
/// fetched from it; null if there is none.
const Backend *firstReachable(const Backends &backends, const SelectionCriteria &criteria,
                              std::span<const std::string> holders) {
  for (const std::string &id : holders) {
    const auto it = backends.Servers.find(id);
    if (it != backends.Servers.end() && !it->second.MissingSince &&
        hasAllowedVersion(criteria, it->second))
      return &it->second;
  }
  return nullptr;
}

/// Prompt tokens, or their equivalent in running requests, that delay the first token of a new
/// request.
balance::ServerLoad loadFor(const Backends &backends, const Backend &it, const PeerWork &others,
                            bool areReportsLost) {
  const double perRunning = TokensPerRunningRequest * ReferenceSlots / std::max(1U, it.Entry.Slots);
  balance::ServerLoad out;
  out.OwnTokens = it.PendingTokens + perRunning * it.Running;
  out.OtherTokens = areReportsLost
                        ? balance::extrapolateOthers(out.OwnTokens, backends.OtherNodes)
                        : backends.PeerScale * (others.PendingTokens + perRunning * others.Running);
  return out;
}

balance::SpeedEstimate estimateOf(const Backend &it, const PeerWork &others, const Now &now) {
  return balance::estimateSpeed(balance::withPeers(balance::decayed(it.Speed, now),
                                                   others.SpeedFactors, others.SpeedWeights));
}

/// True if the other nodes reported not long ago and do no more.
bool areReportsLost(const Backends &backends, const Now &now) {
  return backends.Peers.Reports.empty() && backends.Peers.LastAt != TimePoint{} &&
         now.Steady - backends.Peers.LastAt < LostReportsTime;
}

/// What the other nodes send to a service, in prompt tokens per second.
double othersPerSecond(const Backends &backends, const SelectionCriteria &criteria,
                       const Now &now) {
  if (areReportsLost(backends, now))
    return criteria.OwnTokensPerSecond * static_cast<double>(backends.OtherNodes);
  const auto it = backends.Peers.Demands.find(criteria.Service);
  return it == backends.Peers.Demands.end() ? 0 : backends.PeerScale * double(it->second);
}

balance::Outlook outlookOf(const Backends &backends, const SelectionCriteria &criteria,
                           const Now &now) {
  const auto times = backends.Times.find(criteria.Service);
  return balance::makeOutlook(
      reportAge(backends.Peers, now),
      times == backends.Times.end() ? std::nullopt : balance::unitsPerMs(times->second.PerToken),
      othersPerSecond(backends, criteria, now));
}

double limitPenalty(const Backend &it, double ownTokens) {
  return isLimited(it) ? std::max(0.0, LimitedServerTokens - ownTokens) : 0;
}

/// Chooses by the expected wait, the time to read the prompt and, if the server does not cache the
/// prefix, the tokens of the prefix up to HolderPreferenceTokens, less the discount of its homes. A
/// server without the prefix fetches it from a holder. If no holder is known, the first home, which
/// is the same on all nodes, is treated as one and reads the prefix.
Choice chooseByPrefix(const Backends &backends, const std::vector<const Backend *> &from,
                      const SelectionCriteria &criteria, std::uint64_t prefix, const Now &now,
                      Random &rng) {
  // The most recent reader comes first.
  const std::span<const std::string> holders =
      holdersOf(backends.PrefixCache, prefix, criteria.Versions && criteria.Versions->IsTarget);
  const Backend *holder = firstReachable(backends, criteria, holders);
  const Homes homes = homesOf(from, prefix);
  const auto hasPrefix = [&](const Backend *it) {
    return holder == nullptr ? it == homes[0]
                             : std::ranges::find(holders, it->Entry.Id) != holders.end();
  };
  const double own = criteria.Prompt.back().Tokens;
  const auto shared = static_cast<double>(sharedPrefixTokens(criteria.Prompt));
  const double preference = std::min(HolderPreferenceTokens, shared);
  std::vector<balance::SpeedEstimate> speeds;
  speeds.reserve(from.size());
  for (const Backend *it : from)
    speeds.push_back(estimateOf(*it, workOn(backends.Peers, it->Entry.Id), now));
  // Servers of equal speed keep the rule of the lowest sum, so that deployments with such servers
  // are served as before.
  const bool isUneven = balance::isUneven(speeds);
  const balance::Outlook outlook =
      isUneven ? outlookOf(backends, criteria, now) : balance::Outlook{};
  const bool isLost = areReportsLost(backends, now);
  std::vector<balance::Candidate> candidates;
  std::vector<balance::ServerLoad> loads;
  candidates.reserve(from.size());
  loads.reserve(from.size());
  for (std::size_t i = 0; i < from.size(); ++i) {
    const Backend *it = from[i];
    const PeerWork others = workOn(backends.Peers, it->Entry.Id);
    balance::ServerLoad &load =
        loads.emplace_back(loadFor(backends, *it, others, isLost && isUneven));
    if (isUneven)
      load.Speed = speeds[i];
    const std::size_t rank = static_cast<std::size_t>(std::ranges::find(homes, it) - homes.begin());
    const double discount = balance::homeDiscount(rank, outlook);
    const bool isHolder = hasPrefix(it);
    const double missing = isHolder ? 0 : preference * (1 - discount);
    candidates.push_back({balance::expectedWait(load),
                          load.Speed.Factor * (own + missing) + limitPenalty(*it, own),
                          load.Speed.Factor, isHolder || discount > 0});
  }
  const std::size_t best = balance::chooseCandidate(candidates, outlook, rng);
  const balance::ServerLoad &load = loads[best];
  const bool isHolder = hasPrefix(from[best]);
  const double toRead = own + (holder == nullptr ? shared
                               : isHolder        ? 0
                                                 : std::min(PrefixFetchTokens, shared));
  return {from[best],
          toRead,
          isHolder ? nullptr : holder,
          {.Wait = candidates[best].Wait,
           .Speed = load.Speed,
           .ReportAge = reportAge(backends.Peers, now),
           .SentSinceReports = outlook.SentSinceReports,
           .TokensBefore = load.OwnTokens + load.OtherTokens + toRead,
           .CertainPart = balance::certainPart(load, toRead),
           .Candidates = from.size()}};
}

} // namespace

std::uint64_t sharedPrefixTokens(std::span<const PromptPart> prompt) {
  std::uint64_t tokens = 0;
  for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
    tokens += prompt[i].Tokens;
  return tokens;
}

std::vector<std::uint64_t> sharedParts(std::span<const PromptPart> prompt) {
  std::vector<std::uint64_t> out;
  for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
    out.push_back(prompt[i].Hash);
  return out;
}

std::optional<std::uint64_t> sharedPrefixHash(std::span<const PromptPart> prompt) {
  if (prompt.size() < 2)
    return std::nullopt;
  return prompt[prompt.size() - 2].Hash;
}

namespace {

ServerStart startOf(const BackendEntry &entry) { return {entry.Id, entry.Born}; }

/// True if a peer keeps an entry that its reading lacks, while this node knows that it has lapsed.
bool isKnownLapsed(const Backends &backends, const BackendEntry &entry) {
  return entry.Missing && isDeparting(backends.Departures, startOf(entry));
}

/// Puts an entry of the list into use. Everything known of an earlier start ends.
void useEntry(Backends &backends, const BackendEntry &entry, const Now &now) {
  const auto [known, isNew] = backends.Servers.try_emplace(entry.Id);
  Backend &it = known->second;
  // A restarted server may have an earlier wall clock, so that any other `Born` is a new start.
  const bool hasOtherAddress = it.Entry.Address != entry.Address;
  if (isNew && entry.Missing)
    it.MissingSince = now.Steady;
  if (!isNew && (it.Entry.Born != entry.Born || hasOtherAddress)) {
    if (entry.Born == 0 && it.Entry.Born == 0)
      forgetStart(backends.Departures, startOf(entry));
    const unsigned inflight = it.Inflight;
    const std::optional<TimePoint> missing = it.MissingSince;
    it = {};
    it.Inflight = inflight;
    it.MissingSince = missing;
    removeServer(backends.PrefixCache, entry.Id);
  }
  it.Entry = entry;
  if (entry.WarmUpTime > 0ms)
    it.WarmUntil = now.Steady + entry.WarmUpTime;
  if (entry.Missing)
    return;
  it.MissingSince.reset();
  noteListed(backends.Departures, startOf(entry), backends.ListPosition);
}

} // namespace

message::BackendDeparture makeDeparture(const Backends &backends, const ServerStart &start,
                                        message::DepartureKind kind) {
  return {start.Id,
          start.Born,
          kind,
          backends.Node,
          std::chrono::milliseconds{0},
          backends.ListPosition.Era,
          backends.ListPosition.Revision};
}

std::vector<message::BackendDeparture> applyList(Backends &backends,
                                                 std::span<const BackendEntry> list,
                                                 bool keepMissing, const Now &now,
                                                 const store::Position &position) {
  std::vector<message::BackendDeparture> added;
  const auto add = [&](const BackendEntry &entry, message::DepartureKind kind) {
    message::BackendDeparture it = makeDeparture(backends, startOf(entry), kind);
    if (addDeparture(backends.Departures, it, position, now))
      added.push_back(std::move(it));
  };
  backends.ListPosition = position;
  for (auto &[id, it] : backends.Servers)
    if (!it.MissingSince)
      it.MissingSince = now.Steady;
  std::set<std::string_view> kept;
  for (const BackendEntry &entry : list) {
    if (isKnownLapsed(backends, entry))
      continue;
    if (entry.Missing)
      kept.insert(entry.Id);
    useEntry(backends, entry, now);
    if (entry.Draining)
      add(entry, message::DepartureKind::Draining);
    backends.Servers.at(entry.Id).Leaving = isDeparting(backends.Departures, startOf(entry));
  }
  prune(backends.Departures, now);
  for (auto it = backends.Servers.begin(); it != backends.Servers.end();) {
    Backend &server = it->second;
    if (server.MissingSince && !keepMissing && !kept.contains(it->first)) {
      add(server.Entry, message::DepartureKind::Lapsed);
      noteUnlisted(backends.Departures, it->first, now);
      server.Leaving = true;
      if (server.Inflight == 0) {
        removeServer(backends.PrefixCache, it->first);
        it = backends.Servers.erase(it);
        continue;
      }
    }
    ++it;
  }
  return added;
}

bool applyDeparture(Backends &backends, const message::BackendDeparture &departure,
                    const Now &now) {
  const bool isNew = addDeparture(backends.Departures, departure, backends.ListPosition, now);
  if (Backend *it = find(backends, departure.Backend); it != nullptr && !it->Leaving)
    it->Leaving = isDeparting(backends.Departures, startOf(it->Entry));
  return isNew;
}

void confirmList(Backends &backends, const store::Position &position) {
  backends.ListPosition = position;
  for (auto &[id, it] : backends.Servers)
    if (!it.MissingSince) {
      noteListed(backends.Departures, startOf(it.Entry), position);
      it.Leaving = isDeparting(backends.Departures, startOf(it.Entry));
    }
}

Choice chooseServer(const Backends &backends, const SelectionCriteria &criteria, const Now &now,
                    Random &rng) {
  const std::vector<const Backend *> candidates = eligibleServers(backends, criteria, now);
  if (candidates.empty())
    return {};
  if (const auto prefix = sharedPrefixHash(criteria.Prompt))
    return chooseByPrefix(backends, candidates, criteria, *prefix, now, rng);
  return {leastLoaded(backends, candidates, rng), 0, nullptr, {}};
}

message::BackendLoads localLoads(const Backends &backends, const Now &now) {
  message::BackendLoads out;
  for (const auto &[id, it] : backends.Servers) {
    if (it.Inflight == 0)
      continue;
    const balance::EncodedSpeed speed = balance::encodeSpeed(balance::decayed(it.Speed, now));
    out.Loads.push_back({id, static_cast<std::uint32_t>(std::max(0.0, it.PendingTokens)),
                         static_cast<std::uint32_t>(it.Running), speed.Factor, speed.Weight});
  }
  return out;
}

bool hasServerBehindLimit(const Backends &backends, SelectionCriteria criteria, const Now &now) {
  criteria.Limited = SelectionCriteria::LimitedServers::All;
  return std::ranges::any_of(backends.Servers, [&](const auto &it) {
    return isLimited(it.second) && isEligible(criteria, it.second, now) &&
           hasAllowedVersion(criteria, it.second);
  });
}

bool pauseServer(Backends &backends, const std::string &id, Duration time, const Now &now) {
  Backend *it = find(backends, id);
  if (it == nullptr)
    return false;
  const bool isNew = it->NothingUntil <= now.Steady;
  it->NothingUntil = std::max(it->NothingUntil, now.Steady + time);
  return isNew;
}

std::optional<TimePoint> endOfPause(const Backends &backends, const SelectionCriteria &criteria,
                                    const Now &now) {
  std::optional<TimePoint> first;
  for (const auto &[id, it] : backends.Servers) {
    if (it.Leaving || it.Entry.Service != criteria.Service || !hasAllowedVersion(criteria, it))
      continue;
    if (it.NothingUntil <= now.Steady)
      return std::nullopt;
    first = std::min(first.value_or(it.NothingUntil), it.NothingUntil);
  }
  return first;
}

bool hasActiveServer(const Backends &backends, const SelectionCriteria &criteria) {
  return std::ranges::any_of(backends.Servers, [&](const auto &it) {
    return !it.second.Leaving && it.second.Entry.Service == criteria.Service &&
           hasAllowedVersion(criteria, it.second);
  });
}

Backend *find(Backends &backends, const std::string &id) {
  const auto it = backends.Servers.find(id);
  return it == backends.Servers.end() ? nullptr : &it->second;
}

void onRequestSent(Backends &backends, const std::string &id, double pendingTokens) {
  if (Backend *it = find(backends, id)) {
    ++it->Inflight;
    it->PendingTokens += pendingTokens;
  }
}

void onFirstByte(Backends &backends, const std::string &id, double pendingTokens,
                 std::span<const PromptPart> prompt) {
  if (Backend *it = find(backends, id)) {
    ++it->Running;
    it->PendingTokens = std::max(0.0, it->PendingTokens - pendingTokens);
  }
  if (const auto prefix = sharedPrefixHash(prompt))
    recordHolder(backends.PrefixCache, *prefix, id);
}

void onPromptRead(Backends &backends, const std::string &id, const ChoiceFigures &figures,
                  Duration time, const Now &now) {
  Backend *it = find(backends, id);
  if (it == nullptr || figures.TokensBefore < MinSampleTokens)
    return;
  ServiceTimes &times = backends.Times[it->Entry.Service];
  if (const auto factor = balance::addTimedWork(times.PerToken, figures.TokensBefore, time))
    balance::addSample(it->Speed, *factor, figures.CertainPart, now);
}

void onEventsTimed(Backends &backends, const std::string &id, unsigned events, Duration time,
                   const Now &now) {
  Backend *it = find(backends, id);
  if (it == nullptr)
    return;
  ServiceTimes &times = backends.Times[it->Entry.Service];
  if (const auto factor = balance::addTimedWork(times.PerEvent, events, time))
    balance::addSample(it->Speed, *factor, 1, now);
}

balance::SpeedEstimate speedOf(const Backends &backends, const Backend &server, const Now &now) {
  return estimateOf(server, workOn(backends.Peers, server.Entry.Id), now);
}

double expectedWaitAt(const Backends &backends, const Backend &server, const Now &now) {
  const PeerWork others = workOn(backends.Peers, server.Entry.Id);
  balance::ServerLoad load = loadFor(backends, server, others, areReportsLost(backends, now));
  load.Speed = estimateOf(server, others, now);
  return balance::expectedWait(load);
}

void onRequestEnded(Backends &backends, const std::string &id, double pendingTokens,
                    bool gotFirstByte) {
  Backend *it = find(backends, id);
  if (it == nullptr || it->Inflight == 0)
    return;
  --it->Inflight;
  if (gotFirstByte && it->Running > 0)
    --it->Running;
  if (!gotFirstByte)
    it->PendingTokens = std::max(0.0, it->PendingTokens - pendingTokens);
  if (it->Inflight == 0) {
    it->Running = 0;
    it->PendingTokens = 0;
  }
}

void recordOutcome(Backends &backends, const std::string &id, SendOutcome outcome, const Now &now) {
  Backend *it = find(backends, id);
  if (it == nullptr)
    return;
  if (outcome == SendOutcome::Full) {
    it->AvoidUntil = std::max(it->AvoidUntil, now.Steady + AvoidFullTime);
    return;
  }
  const bool failed = outcome != SendOutcome::Success;
  it->FailureRate += FailureRateWeight * ((failed ? 1.0 : 0.0) - it->FailureRate);
  it->ConsecutiveFailures = failed ? it->ConsecutiveFailures + 1 : 0;
  if (!failed && it->FailureRate < AvoidAtFailureRate)
    it->AvoidUntil = {};
  if (it->ConsecutiveFailures >= AvoidAfterFailures || it->FailureRate > AvoidAtFailureRate)
    it->AvoidUntil = now.Steady + AvoidTime;
}

} // namespace chervil::relay
