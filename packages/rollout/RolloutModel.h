// A fleet of nodes, a holder, a store and two versions of a service, in steps of 20 ms, for tests.
// Use:
//   Model m({.Nodes = 9, .Target = failsAtOnce()}, seed);
//   run(m);
//   m.Store.Status, m.Exposed, m.Arrived
#ifndef CHERVIL_ROLLOUT_ROLLOUTMODEL_H
#define CHERVIL_ROLLOUT_ROLLOUTMODEL_H

#include "rollout/Controller.h"
#include "rollout/NodeShare.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace chervil::rollout::test {

using namespace std::chrono_literals;

/// What decides how the target answers a request.
struct Moment {
  Duration SinceOrder{};
  std::size_t Route = 0;
  /// Load of the target's servers, as part of that by the whole traffic, in the last 200 ms.
  double Load = 0;
};
/// Probability of a bad answer.
using Behaviour = std::function<double(const Moment &)>;

struct Scenario {
  std::size_t Nodes = 9;
  double RequestsPerSecond = 300;
  std::chrono::milliseconds Time{12000};
  Behaviour Target = [](const Moment &) { return 0.0; };
  /// Added to the bad answers of both versions.
  Behaviour Both = [](const Moment &) { return 0.0; };
  AnswerQuality Bad = AnswerQuality::Failed;
  Duration ServersStart = 1s;
  /// When the holder ends, as soon as it is in this state; the next one takes over 3 s later.
  std::optional<State> KillHolderIn;
  /// The store gives no answer for 1.5 s from the first time the holder is in this state.
  std::optional<State> StoreGoneIn;
  /// Nodes, counted from the last, that neither send to nor hear from the holder from 3 s on.
  std::size_t CutOff = 0;
  /// Nodes, counted from the last, that are cut off from the holder only, and for how long. They
  /// reach the store.
  std::size_t Partitioned = 0;
  Duration PartitionedFrom = 3s;
  Duration PartitionedFor = 100s;
  /// How long after the end of the order the run goes on.
  Duration Overtime = 500ms;
};

/// Servers of each version.
constexpr std::size_t Servers = 8;

struct StoreModel {
  std::optional<rollout::Status> Status;
  std::optional<rollout::Mark> Mark;
  /// Times that a node has written the status again; a condition of the holder's writes.
  std::uint64_t Objections = 0;
};

struct Event {
  TimePoint At{};
  std::function<void()> Do;
};

struct Model {
  test::Scenario Scenario;
  Random Rng;
  /// For retries, so that they do not change what is drawn for the other requests.
  Random RetryRng;
  Now Time{TimePoint(1000s), WallTime(1'000'000'000ms)};
  Now Began = Time;
  StoreModel Store;
  std::vector<NodeShare> Nodes;
  std::vector<std::uint64_t> OldOpen;
  std::vector<TimePoint> NextReport;
  std::vector<TimePoint> NextObjection;
  /// Value of StoreModel::Objections as the holder has read it.
  std::uint64_t KnownObjections = 0;
  TimePoint HolderBegan{};
  std::optional<rollout::Controller> Holder;
  std::optional<TimePoint> HolderReturns;
  std::optional<TimePoint> StoreReturns;
  std::multimap<TimePoint, std::function<void()>> Events;
  std::vector<std::pair<TimePoint, bool>> Lately;
  std::uint64_t Token = 1;
  bool Killed = false;
  bool Failed = false;
  std::uint64_t Arrived = 0;
  std::uint64_t Exposed = 0;
  std::uint64_t BadAnswers = 0;
  TimePoint FiftiethBad{};
  TimePoint LastToTarget{};
  TimePoint Ended{};
  /// Requests in flight to the old servers when `completed` was written, at nodes not cut off.
  std::uint64_t HarmedAtCompletion = 0;

  Model(const test::Scenario &scenario, std::uint64_t seed)
      : Scenario(scenario), Rng(seed), RetryRng(~seed), Nodes(scenario.Nodes),
        OldOpen(scenario.Nodes), NextReport(scenario.Nodes), NextObjection(scenario.Nodes) {}
};

inline rollout::Order orderOf(const Model &m) {
  return {.Service = "s", .Target = "v2", .Time = m.Scenario.Time, .Revision = 5};
}

inline double draw(Model &m) { return std::uniform_real_distribution<double>(0, 1)(m.Rng); }

inline void later(Model &m, Duration in, std::function<void()> what) {
  m.Events.emplace(m.Time.Steady + in, std::move(what));
}

inline Duration sinceOrder(const Model &m) { return m.Time.Steady - m.Began.Steady; }

inline bool isCutOff(const Model &m, std::size_t node) {
  return sinceOrder(m) > 3s && node >= m.Nodes.size() - m.Scenario.CutOff;
}

inline bool isPartitioned(const Model &m, std::size_t node) {
  const Duration since = sinceOrder(m) - m.Scenario.PartitionedFrom;
  return node >= m.Nodes.size() - m.Scenario.Partitioned && since >= Duration{0} &&
         since < m.Scenario.PartitionedFor;
}

inline bool reachesHolder(const Model &m, std::size_t node) {
  return !isCutOff(m, node) && !isPartitioned(m, node);
}

inline std::string nameOf(std::size_t node) { return "n" + std::to_string(node); }

inline Inputs inputsOf(const Model &m) {
  return {.MayAct = !m.StoreReturns,
          .Token = m.Token,
          .TargetSlots = sinceOrder(m) > m.Scenario.ServersStart ? 64U : 0U,
          .OldSlots = 64,
          .TargetServers = Servers,
          .LiveNodes = {}};
}

/// Load of the target's servers that the node uses.
inline double loadOf(Model &m, std::size_t node) {
  std::erase_if(m.Lately, [&](const auto &it) { return m.Time.Steady - it.first > 200ms; });
  double target = 0;
  for (const auto &it : m.Lately)
    target += it.second ? 1 : 0;
  const std::uint32_t used = m.Nodes[node].Grant.Servers;
  const double part = used == 0 ? 1 : double(used) / double(Servers);
  return m.Lately.empty() ? 0 : target / double(m.Lately.size()) / part;
}

/// Repeats a request that failed at the target at an old server, as nodes do on the first route,
/// whose requests may run twice. If it fails there too, its evidence is withdrawn.
inline void retryAtOld(Model &m, std::size_t node, const std::string &name, const Moment &moment) {
  std::uniform_real_distribution<double> draw(0, 1);
  const bool fails = draw(m.RetryRng) < m.Scenario.Both(moment);
  ++m.OldOpen[node];
  later(m, 40ms + std::chrono::milliseconds(int(draw(m.RetryRng) * 120)), [&m, node, name, fails] {
    --m.OldOpen[node];
    if (fails)
      withdrawFailure(m.Nodes[node], name, true);
    else
      onAnswer(m.Nodes[node], name, false, AnswerQuality::Good);
  });
}

inline void request(Model &m, std::size_t node) {
  ++m.Arrived;
  const double r = draw(m);
  const std::size_t route = r < 0.55 ? 0 : r < 0.9 ? 1 : 2;
  const std::string name(1, char('a' + route));
  const bool target = takeRequest(m.Nodes[node], name, m.Time, m.Rng);
  m.Lately.emplace_back(m.Time.Steady, target);
  const Moment moment{sinceOrder(m), route, loadOf(m, node)};
  double bad = m.Scenario.Both(moment);
  if (target) {
    ++m.Exposed;
    m.LastToTarget = m.Time.Steady;
    bad = 1 - (1 - bad) * (1 - m.Scenario.Target(moment));
  } else {
    ++m.OldOpen[node];
  }
  const bool isBad = draw(m) < bad;
  later(m, 40ms + std::chrono::milliseconds(int(draw(m) * 120)),
        [&m, node, name, target, isBad, moment] {
          onAnswer(m.Nodes[node], name, target, isBad ? m.Scenario.Bad : AnswerQuality::Good);
          if (target && isBad && m.Scenario.Bad == AnswerQuality::Failed && moment.Route == 0 &&
              !isClosed(m.Nodes[node], m.Time))
            retryAtOld(m, node, name, moment);
          if (!target)
            --m.OldOpen[node];
          else if (isBad && ++m.BadAnswers == 50)
            m.FiftiethBad = m.Time.Steady;
        });
}

inline void readObjections(Model &m) {
  if (std::exchange(m.KnownObjections, m.Store.Objections) != m.Store.Objections)
    onObjection(*m.Holder, m.Time);
}

inline void carryOut(Model &m, const Action &it) {
  if (it.Type == Action::Kind::Step)
    return;
  later(m, 5ms, [&m, it, token = m.Token, known = m.KnownObjections] {
    const bool isStatus = it.Type == Action::Kind::WriteStatus;
    const bool objected = isStatus && known != m.Store.Objections;
    const bool writes = !m.StoreReturns && token == m.Token && !objected;
    if (m.Holder && token == m.Token)
      readObjections(m);
    if (writes && isStatus) {
      m.Store.Status = Status{it.Status, "v2", 6};
      if (it.Status != StatusState::Active)
        m.Ended = m.Time.Steady;
      if (it.Status == StatusState::Completed)
        for (std::size_t n = 0; n < m.Nodes.size(); ++n)
          m.HarmedAtCompletion += isCutOff(m, n) ? 0 : m.OldOpen[n];
    } else if (writes) {
      m.Store.Mark = it.Mark;
    }
    if (!m.Holder || token != m.Token)
      return;
    if (isStatus)
      onStatusWritten(*m.Holder, it.Status, writes);
    else
      onMarkWritten(*m.Holder, it.Mark, writes);
  });
}

inline void report(Model &m, std::size_t node) {
  // No report before the notice of the order; a node that is cut off reports to nobody.
  if (m.Nodes[node].Grant.Target.empty() || isCutOff(m, node))
    return;
  const auto out = makeReport(m.Nodes[node], nameOf(node), m.OldOpen[node], m.Time);
  later(m, 5ms, [&m, node, out] {
    if (!m.Holder || !reachesHolder(m, node))
      return;
    const auto grant = onReport(*m.Holder, out, inputsOf(m), m.Time, m.Rng);
    later(m, 5ms, [&m, node, grant] { onGrant(m.Nodes[node], grant, m.Time); });
  });
}

/// Nodes without contact to the holder write the status again, if there is one.
inline void object(Model &m, std::size_t node) {
  if (!lacksContact(m.Nodes[node], m.Time) || isCutOff(m, node) || m.StoreReturns ||
      m.Time.Steady < m.NextObjection[node])
    return;
  m.NextObjection[node] = m.Time.Steady + 1s;
  later(m, 10ms, [&m] {
    if (m.Store.Status && m.Store.Status->State == StatusState::Active)
      ++m.Store.Objections;
  });
}

inline void tickHolder(Model &m) {
  if (m.HolderReturns && m.Time.Steady >= *m.HolderReturns) {
    m.HolderReturns.reset();
    ++m.Token;
    m.Holder.reset();
  }
  if (m.StoreReturns && m.Time.Steady >= *m.StoreReturns)
    m.StoreReturns.reset();
  if (m.HolderReturns)
    return;
  if (!m.Holder && !m.StoreReturns) {
    m.Holder = makeController(orderOf(m), {0.1, 50}, m.Store.Status, m.Store.Mark, m.Time);
    m.KnownObjections = m.Store.Objections;
    m.HolderBegan = m.Time.Steady;
  }
  if (!m.Holder)
    return;
  if (!m.Failed && m.Holder->State == m.Scenario.StoreGoneIn) {
    m.Failed = true;
    m.StoreReturns = m.Time.Steady + 1500ms;
  }
  if (!m.Killed && m.Holder->State == m.Scenario.KillHolderIn) {
    m.Killed = true;
    m.Holder.reset();
    m.HolderReturns = m.Time.Steady + 3s;
    return;
  }
  Inputs in = inputsOf(m);
  for (std::size_t n = 0; n < m.Nodes.size(); ++n)
    if (reachesHolder(m, n))
      in.LiveNodes.push_back(nameOf(n));
  for (const Action &it : tick(*m.Holder, in, m.Time))
    carryOut(m, it);
  const bool hasTakenOver = m.Token > 1 && m.Time.Steady - m.HolderBegan < 2s;
  if (hasTakenOver || lacksReports(*m.Holder, in, m.Time))
    readObjections(m);
  for (std::size_t n = 0; n < m.Nodes.size(); ++n)
    if (reachesHolder(m, n) &&
        (m.Nodes[n].Grant.Target.empty() || m.Holder->State == State::Reverted))
      onGrant(m.Nodes[n], makeNotice(*m.Holder, inputsOf(m)), m.Time);
}

/// Plays the order from its begin to 0.5 s after its end. Requests arrive until its end.
inline void run(Model &m) {
  const Duration period =
      std::min<Duration>(500ms, std::max<Duration>(100ms, 5ms * m.Nodes.size()));
  for (std::size_t n = 0; n < m.Nodes.size(); ++n)
    m.NextReport[n] = m.Time.Steady + std::chrono::milliseconds(int(draw(m) * 500));
  std::poisson_distribution<int> arrivals(m.Scenario.RequestsPerSecond / 50);
  std::uniform_int_distribution<std::size_t> pick(0, m.Nodes.size() - 1);
  // A node that does not reach the holder reads the order in the store.
  for (std::size_t n = 0; n < m.Nodes.size(); ++n)
    if (isPartitioned(m, n))
      onGrant(m.Nodes[n], {.Service = "s", .Target = "v2", .Order = 5}, m.Time);
  for (int step = 0; sinceOrder(m) < m.Scenario.Time + m.Scenario.Overtime; ++step) {
    m.Time.Steady += 20ms;
    m.Time.Wall += 20ms;
    while (!m.Events.empty() && m.Events.begin()->first <= m.Time.Steady) {
      const auto next = std::move(m.Events.begin()->second);
      m.Events.erase(m.Events.begin());
      next();
    }
    if (step % 5 == 0)
      tickHolder(m);
    for (std::size_t n = 0; n < m.Nodes.size(); ++n)
      if (m.Time.Steady >= m.NextReport[n]) {
        m.NextReport[n] += period;
        report(m, n);
        object(m, n);
      }
    // At `completed` the old servers stop; later requests are of no interest here.
    if (m.Store.Status && m.Store.Status->State == StatusState::Completed)
      return;
    const bool arrive = sinceOrder(m) < m.Scenario.Time || m.Scenario.Partitioned > 0;
    for (int i = arrive ? arrivals(m.Rng) : 0; i > 0; --i)
      request(m, pick(m.Rng));
  }
}

inline bool isCompleted(const Model &m) {
  return m.Store.Status && m.Store.Status->State == StatusState::Completed &&
         m.Ended - m.Began.Steady <= m.Scenario.Time;
}
inline bool isReverted(const Model &m) {
  return m.Store.Status && m.Store.Status->State == StatusState::Reverted;
}
inline bool isWithinBound(const Model &m) {
  return double(m.Exposed) <= 0.1 * double(m.Arrived) + 50;
}
/// Completed, at any time.
inline bool isEverCompleted(const Model &m) {
  return m.Store.Status && m.Store.Status->State == StatusState::Completed;
}
/// No request reached the target later than 5 s after its 50th bad answer.
inline bool isLeftInTime(const Model &m) {
  return m.FiftiethBad == TimePoint{} || m.LastToTarget <= m.FiftiethBad + 5s;
}

} // namespace chervil::rollout::test

#endif
