#include "relay/Backends.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>

namespace chervil::relay {
namespace {

using namespace std::chrono_literals;

// Weight of one answer in the smoothed failure rate: about the last ten answers count.
constexpr double FailureWeight = 0.12;
// From this failure rate a server is avoided; plain services fail 14 in 100 by themselves.
constexpr double AvoidAtRate = 0.4;
constexpr unsigned AvoidAfterFailures = 3;
constexpr Duration AvoidFor = 2s;
// A full server is avoided until its queue had time to move.
constexpr Duration AvoidFullFor = 300ms;
constexpr double FirstByteWeight = 0.2;
// A server that holds a prompt's shared part is chosen up to this multiple of the mean load and
// this many requests above it; reading a long shared part again costs about 200 ms.
constexpr double AffinityLoadBound = 1.5;
constexpr double AffinityLoadSlack = 3;
// Servers in another data centre cost a hop of about a millisecond and traffic between data
// centres; equal load stays local.
constexpr double OtherDataCentreLoad = 0.3;
// How long news of a server that is leaving outlives its entry in the list.
constexpr Duration NewsLifetime = 30s;

bool isExcluded(const Work &work, const std::string &id) {
  return std::ranges::find(work.Excluded, id) != work.Excluded.end();
}

bool hasRoom(const Work &work, const Backend &it) {
  return work.MaxInflight == 0 || it.Inflight < work.MaxInflight;
}

std::vector<const Backend *> candidatesOf(const Backends &backends, const Work &work,
                                          const Now &now) {
  std::vector<const Backend *> good;
  std::vector<const Backend *> avoided;
  for (const auto &[id, it] : backends.Servers) {
    if (it.Leaving || it.Entry.Service != work.Service || isExcluded(work, id) ||
        !hasRoom(work, it))
      continue;
    (it.AvoidUntil > now.Steady ? avoided : good).push_back(&it);
  }
  return good.empty() ? avoided : good;
}

double loadOf(const Backends &backends, const Backend &it) {
  const double perSlot =
      (static_cast<double>(it.Inflight) + 1) / std::max(1.0, double(it.Entry.Slots));
  const double far = it.Entry.DataCentre == backends.DataCentre ? 0 : OtherDataCentreLoad;
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

/// Rendezvous hashing with bounded load: all nodes rank the servers of a prompt alike without
/// talking to each other, and few prompts move when a server comes or goes.
const Backend *byPrompt(const std::vector<const Backend *> &from, std::uint64_t part) {
  double total = 0;
  for (const Backend *it : from)
    total += it->Inflight;
  const double bound =
      AffinityLoadBound * total / static_cast<double>(from.size()) + AffinityLoadSlack;
  const Backend *best = nullptr;
  std::uint64_t bestRank = 0;
  for (const Backend *it : from) {
    if (it->Inflight > bound)
      continue;
    const std::uint64_t rank = hashBytes(it->Entry.Id, part);
    if (best == nullptr || rank > bestRank) {
      best = it;
      bestRank = rank;
    }
  }
  return best;
}

} // namespace

std::optional<std::uint64_t> sharedPartOf(std::span<const PromptPart> prompt) {
  if (prompt.size() < 2)
    return std::nullopt;
  return prompt[prompt.size() - 2].Hash;
}

std::vector<std::string> applyList(Backends &backends, std::span<const BackendEntry> list,
                                   bool keepMissing, const Now &now) {
  std::vector<std::string> leaving;
  for (auto &[id, it] : backends.Servers)
    if (!it.Missing)
      it.Missing = now.Steady;
  for (const BackendEntry &entry : list) {
    Backend &it = backends.Servers[entry.Id];
    const bool restarted = it.Entry.Born != entry.Born || it.Entry.Address != entry.Address;
    if (restarted) {
      const unsigned inflight = it.Inflight;
      it = {};
      it.Inflight = inflight;
      backends.LeavingNews.erase(entry.Id);
    }
    it.Missing.reset();
    const bool wasLeaving = it.Leaving;
    it.Entry = entry;
    it.Leaving = entry.Draining || backends.LeavingNews.contains(entry.Id);
    if (it.Leaving && !wasLeaving)
      leaving.push_back(entry.Id);
  }
  std::erase_if(backends.LeavingNews,
                [&](const auto &news) { return now.Steady - news.second > NewsLifetime; });
  for (auto it = backends.Servers.begin(); it != backends.Servers.end();) {
    Backend &server = it->second;
    if (server.Missing && !keepMissing) {
      if (!server.Leaving)
        leaving.push_back(it->first);
      server.Leaving = true;
      if (server.Inflight == 0) {
        it = backends.Servers.erase(it);
        continue;
      }
    }
    ++it;
  }
  return leaving;
}

bool applyLeaving(Backends &backends, const std::string &id, const Now &now) {
  if (backends.LeavingNews.contains(id))
    return false;
  backends.LeavingNews.emplace(id, now.Steady);
  Backend *it = find(backends, id);
  if (it == nullptr)
    return true;
  const bool isNew = !it->Leaving;
  it->Leaving = true;
  return isNew;
}

const Backend *choose(const Backends &backends, const Work &work, const Now &now, Random &rng) {
  const std::vector<const Backend *> candidates = candidatesOf(backends, work, now);
  if (candidates.empty())
    return nullptr;
  if (const auto part = sharedPartOf(work.Prompt))
    if (const Backend *it = byPrompt(candidates, *part))
      return it;
  return leastLoaded(backends, candidates, rng);
}

bool hasLive(const Backends &backends, std::string_view service) {
  return std::ranges::any_of(backends.Servers, [&](const auto &it) {
    return !it.second.Leaving && it.second.Entry.Service == service;
  });
}

Backend *find(Backends &backends, const std::string &id) {
  const auto it = backends.Servers.find(id);
  return it == backends.Servers.end() ? nullptr : &it->second;
}

void onStarted(Backends &backends, const std::string &id) {
  if (Backend *it = find(backends, id))
    ++it->Inflight;
}

void onEnded(Backends &backends, const std::string &id) {
  if (Backend *it = find(backends, id); it != nullptr && it->Inflight > 0)
    --it->Inflight;
}

void observe(Backends &backends, const std::string &id, Observation what, const Now &now) {
  Backend *it = find(backends, id);
  if (it == nullptr)
    return;
  if (what == Observation::Full) {
    it->AvoidUntil = std::max(it->AvoidUntil, now.Steady + AvoidFullFor);
    return;
  }
  const bool failed = what != Observation::Success;
  it->FailureRate += FailureWeight * ((failed ? 1.0 : 0.0) - it->FailureRate);
  it->FailuresInRow = failed ? it->FailuresInRow + 1 : 0;
  if (!failed && it->FailureRate < AvoidAtRate)
    it->AvoidUntil = {};
  if (it->FailuresInRow >= AvoidAfterFailures || it->FailureRate > AvoidAtRate)
    it->AvoidUntil = now.Steady + AvoidFor;
}

void observeFirstByte(Backends &backends, const std::string &id, Duration time) {
  Backend *it = find(backends, id);
  if (it == nullptr)
    return;
  const double ms = std::chrono::duration<double, std::milli>(time).count();
  it->FirstByteMs =
      it->FirstByteMs == 0 ? ms : it->FirstByteMs + FirstByteWeight * (ms - it->FirstByteMs);
}

} // namespace chervil::relay
