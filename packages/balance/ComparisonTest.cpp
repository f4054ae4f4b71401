// Plays rules of choice side by side, without a network: nodes that know the load of the servers
// from reports of a given age, and servers of two speeds with noise. Prints a table.
#include "balance/Choose.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <numeric>

using namespace chervil;
using namespace chervil::balance;

namespace {

constexpr double Tick = 0.005;
constexpr double WarmUp = 6;
constexpr double End = 16;
constexpr double Target = 0.8;
constexpr double RequestsPerNode = 28;
constexpr double MeanOwnTokens = 600;
constexpr double SnapshotPeriod = 0.05;
constexpr double CacheTokens = 300'000;
constexpr double RunningTokens = 60;

struct Scenario {
  unsigned Nodes;
  unsigned Servers;
  double ReportAge;
  /// Reports are lost from WarmUp on for this long.
  double Lost = 0;
  /// Time factor of every fourth server.
  double Slow = 2;
  /// Requests per node and second.
  double Rate = RequestsPerNode;
  unsigned Seed = 7;
};

struct Job {
  unsigned Node, Prefix;
  double Sent, Ready, ToRead, Left, Output, Expected = 0, Certain = 0, FirstToken = 0, Tokens = 0;
};

struct Server {
  double Slow = 1, StepEnd = 0, Step = 0, Chunk = 0;
  bool IsBusy = false;
  std::deque<Job> Queue, Running;
  std::deque<unsigned> Cache;
  double Requests = 0;
  SpeedEvidence Evidence;
};

struct Prefix {
  double Tokens;
  std::vector<unsigned> Rank;
  std::deque<unsigned> Holders;
};

/// What a rule sees of one server.
struct View {
  ServerLoad Load;
  /// Place in the rendezvous order of the prefix.
  unsigned Rank;
  bool HasPrefix;
  /// The load as it was estimated before.
  double TodaysTokens = 0;
};
struct Question {
  std::vector<View> Servers;
  double Own, Shared;
  bool IsKnown;
  Outlook Ahead;
};
using Rule = std::function<std::size_t(const Question &, Random &)>;

struct Result {
  double Busiest = 0, P99 = 0, InTarget = 0, Swing = 0, ReadAgain = 0, Fetched = 0;
};

struct Snapshot {
  double At = 0;
  std::vector<double> Totals;
  std::vector<float> Own;
  std::vector<SpeedEvidence> Evidence;
};

Duration span(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

Now at(double s) { return {TimePoint(span(s + 100)), {}}; }

struct Play {
  Scenario S;
  const Rule &Choose;
  Random Rng{S.Seed};
  std::vector<Server> Servers{S.Servers};
  std::vector<Prefix> Prefixes{4 * S.Servers};
  std::vector<double> Totals = std::vector<double>(S.Servers);
  std::vector<float> Own = std::vector<float>(std::size_t{S.Nodes} * S.Servers);
  std::vector<SpeedEvidence> OwnEvidence{std::size_t{S.Nodes} * S.Servers};
  std::deque<Snapshot> Snapshots;
  ServicePrior ReadPrior, GapPrior;
  std::vector<double> Waits;
  std::vector<std::vector<double>> History{S.Servers};
  Result Out;
  double Requests = 0;

  double uniform(double a, double b) { return std::uniform_real_distribution<double>(a, b)(Rng); }

  void add(const Job &job, unsigned server, double tokens) {
    Totals[server] += tokens;
    Own[job.Node * S.Servers + server] += static_cast<float>(tokens);
  }

  void send(unsigned node, unsigned p, double now) {
    Prefix &prefix = Prefixes[p];
    const Snapshot &seen = Snapshots.front();
    const double age = now - seen.At;
    const bool expired = age > 1.2;
    Question q;
    q.Own = uniform(200, 1000);
    q.Shared = prefix.Tokens;
    q.IsKnown = !prefix.Holders.empty();
    const double others = S.Rate * (S.Nodes - 1) * MeanOwnTokens;
    q.Ahead = makeOutlook(span(age), unitsPerMs(ReadPrior), others);
    for (unsigned s = 0; s < S.Servers; ++s) {
      const std::size_t own = std::size_t{node} * S.Servers + s;
      const double reported = std::max(0.0, seen.Totals[s] - seen.Own[own]);
      const SpeedEvidence evidence =
          expired ? decayed(OwnEvidence[own], at(now)) : seen.Evidence[s];
      const double queued = expired ? extrapolateOthers(Own[own], S.Nodes - 1) : reported;
      q.Servers.push_back({{Own[own], queued, estimateSpeed(evidence)},
                           prefix.Rank[s],
                           std::ranges::find(prefix.Holders, s) != prefix.Holders.end()});
      if (expired)
        q.Servers.back().TodaysTokens = Own[own];
      else
        q.Servers.back().TodaysTokens = Own[own] + reported;
    }
    const auto chosen = static_cast<unsigned>(Choose(q, Rng));
    Server &to = Servers[chosen];
    const auto cached = std::ranges::find(to.Cache, p);
    Job job{node, p, now, now, q.Own, q.Own, std::floor(uniform(5, 45))};
    if (cached != to.Cache.end()) {
      to.Cache.erase(cached);
    } else {
      const bool canFetch = std::ranges::any_of(prefix.Holders, [&](unsigned h) {
        return std::ranges::find(Servers[h].Cache, p) != Servers[h].Cache.end();
      });
      job.ToRead += canFetch ? 0 : q.Shared;
      job.Ready += canFetch ? 0.02 : 0;
      if (now > WarmUp)
        (canFetch ? Out.Fetched : Out.ReadAgain) += q.Shared;
    }
    to.Cache.push_front(p);
    double held = 0;
    for (std::size_t i = 0; i < to.Cache.size(); ++i)
      if ((held += Prefixes[to.Cache[i]].Tokens) > CacheTokens)
        to.Cache.resize(i);
    job.Left = job.ToRead;
    const ServerLoad &load = q.Servers[chosen].Load;
    job.Expected = job.ToRead + load.OwnTokens + load.OtherTokens;
    job.Certain = certainPart(load, job.ToRead);
    add(job, chosen, job.ToRead);
    to.Queue.push_back(job);
    if (now > WarmUp) {
      ++Requests;
      ++to.Requests;
    }
  }

  void onFirstToken(unsigned s, Job &job, double now) {
    add(job, s, RunningTokens - job.ToRead);
    job.FirstToken = now;
    job.Tokens = job.Output;
    Prefix &prefix = Prefixes[job.Prefix];
    std::erase(prefix.Holders, s);
    prefix.Holders.push_front(s);
    if (prefix.Holders.size() > 2)
      prefix.Holders.pop_back();
    if (job.Sent > WarmUp)
      Waits.push_back(now - job.Sent);
    learn(job, s, addTimedWork(ReadPrior, job.Expected, span(now - job.Sent)), job.Certain, now);
  }

  void learn(const Job &job, unsigned s, std::optional<double> factor, double weight, double now) {
    if (!factor)
      return;
    addSample(Servers[s].Evidence, *factor, weight, at(now));
    addSample(OwnEvidence[std::size_t{job.Node} * S.Servers + s], *factor, weight, at(now));
  }

  /// Ends the steps of a server up to now, each of which reads a chunk and gives every running
  /// request a token.
  void advance(unsigned s, double now) {
    Server &it = Servers[s];
    while (it.IsBusy ? it.StepEnd <= now : !it.Queue.empty()) {
      if (it.IsBusy) {
        std::erase_if(it.Running, [&](Job &job) {
          if (--job.Output > 0)
            return false;
          add(job, s, -RunningTokens);
          learn(job, s, addTimedWork(GapPrior, job.Tokens, span(it.StepEnd - job.FirstToken)), 1,
                it.StepEnd);
          return true;
        });
        double chunk = it.Chunk;
        while (!it.Queue.empty() && chunk >= it.Queue.front().Left) {
          chunk -= it.Queue.front().Left;
          onFirstToken(s, it.Queue.front(), it.StepEnd);
          it.Running.push_back(it.Queue.front());
          it.Queue.pop_front();
          if (chunk <= 0)
            break;
        }
        if (!it.Queue.empty())
          it.Queue.front().Left -= chunk;
      }
      const double start = it.IsBusy ? it.StepEnd : now;
      double waiting = 0;
      for (const Job &job : it.Queue)
        waiting += job.Ready <= start ? job.Left : 0;
      it.Chunk = it.Running.size() < 64 ? std::min(2048.0, waiting) : 0;
      it.IsBusy = it.Chunk > 0 || !it.Running.empty();
      const double noise = uniform(0, 1) < 0.15 ? 2.5 : 1;
      it.StepEnd = start + noise * it.Slow *
                               (0.010 + 0.0001 * double(it.Running.size()) + it.Chunk / 75'000);
      if (!it.IsBusy)
        break;
    }
  }

  Result run() {
    for (unsigned s = 0; s < S.Servers; ++s)
      Servers[s].Slow = s % 4 == 0 ? S.Slow : 1;
    std::vector<double> weights;
    for (Prefix &it : Prefixes) {
      weights.push_back(std::pow(double(weights.size()) + 3, -0.9));
      it.Tokens = uniform(700, 15'500);
      it.Rank.resize(S.Servers);
      std::iota(it.Rank.begin(), it.Rank.end(), 0);
      std::ranges::shuffle(it.Rank, Rng);
      const auto first = static_cast<unsigned>(std::ranges::find(it.Rank, 0U) - it.Rank.begin());
      it.Holders.push_back(first);
      Servers[first].Cache.push_back(static_cast<unsigned>(weights.size() - 1));
    }
    std::discrete_distribution<unsigned> pick(weights.begin(), weights.end());
    std::poisson_distribution<unsigned> arrivals(Tick * S.Rate * S.Nodes);
    std::uniform_int_distribution<unsigned> node(0, S.Nodes - 1);
    double next = 0;
    for (double now = 0; now < End; now += Tick) {
      for (unsigned s = 0; s < S.Servers; ++s)
        advance(s, now);
      if (now >= next) {
        next += SnapshotPeriod;
        Snapshot &it = Snapshots.emplace_back(Snapshot{now, Totals, Own, {}});
        for (unsigned s = 0; s < S.Servers; ++s) {
          it.Evidence.push_back(decayed(Servers[s].Evidence, at(now)));
          if (now > WarmUp)
            History[s].push_back(Totals[s]);
        }
        const bool isLost = now > WarmUp && now < WarmUp + S.Lost;
        while (!isLost && Snapshots.size() > 1 && Snapshots[1].At <= now - S.ReportAge + 1e-6)
          Snapshots.pop_front();
        if (isLost)
          Snapshots.resize(1);
      }
      for (unsigned n = arrivals(Rng); n > 0; --n)
        send(node(Rng), pick(Rng), now);
    }
    return summary();
  }

  Result summary() {
    double speed = 0;
    for (const Server &it : Servers)
      speed += 1 / it.Slow;
    for (const Server &it : Servers)
      Out.Busiest = std::max(Out.Busiest, it.Requests * it.Slow * speed / Requests);
    for (const Server &it : Servers)
      for (const Job &job : it.Queue)
        if (job.Sent > WarmUp && job.Sent < End - Target)
          Waits.push_back(End - job.Sent);
    std::ranges::sort(Waits);
    Out.P99 = Waits[Waits.size() * 99 / 100];
    Out.InTarget =
        double(std::ranges::upper_bound(Waits, Target) - Waits.begin()) / double(Waits.size());
    // The lowest autocorrelation at lags up to 2 s, over all servers.
    Out.Swing = 1;
    for (std::size_t lag = 1; lag <= 40; ++lag) {
      double product = 0;
      double square = 0;
      for (const std::vector<double> &it : History) {
        const double mean = std::accumulate(it.begin(), it.end(), 0.0) / double(it.size());
        for (std::size_t i = 0; i + lag < it.size(); ++i) {
          product += (it[i] - mean) * (it[i + lag] - mean);
          square += (it[i] - mean) * (it[i] - mean);
        }
      }
      Out.Swing = std::min(Out.Swing, product / square);
    }
    Out.ReadAgain /= Requests;
    Out.Fetched /= Requests;
    return Out;
  }
};

/// Cost of a request at a server that lacks its prefix, in tokens, up to which a holder is
/// preferred.
double preference(const Question &q) { return std::min(7000.0, q.Shared); }

bool hasPrefix(const Question &q, const View &it) {
  return q.IsKnown ? it.HasPrefix : it.Rank == 0;
}

/// The rule before this package: the lowest cost by the reports.
std::size_t lowestCost(const Question &q, Random &) {
  const auto costOf = [&](const View &it) {
    return it.TodaysTokens + (hasPrefix(q, it) ? 0
                              : it.Rank == 0   ? preference(q) / 2
                                               : preference(q));
  };
  return static_cast<std::size_t>(std::ranges::min_element(q.Servers, {}, costOf) -
                                  q.Servers.begin());
}

std::vector<Candidate> candidatesOf(const Question &q, bool hasHomes = true) {
  std::vector<Candidate> out;
  for (const View &it : q.Servers) {
    const double factor = it.Load.Speed.Factor;
    const double discount = homeDiscount(it.Rank, q.Ahead);
    const double missing = hasPrefix(q, it) ? 0 : preference(q) * (1 - discount);
    out.push_back({expectedWait(it.Load), factor * (q.Own + missing), factor,
                   hasHomes && (hasPrefix(q, it) || discount > 0)});
  }
  return out;
}

/// The lowest expected time among the homes and a number of random servers.
std::size_t lowestOf(const Question &q, unsigned servers, Random &rng) {
  const std::vector<Candidate> from = candidatesOf(q);
  std::uniform_int_distribution<std::size_t> any(0, from.size() - 1);
  const auto total = [&](std::size_t i) { return from[i].Wait + from[i].Cost; };
  std::size_t best = any(rng);
  for (unsigned i = 1; i < servers; ++i)
    if (const std::size_t other = any(rng); total(other) < total(best))
      best = other;
  for (std::size_t i = 0; i < from.size(); ++i)
    if (from[i].IsHome && total(i) < total(best))
      best = i;
  return best;
}

/// Random, weighted by the speed.
std::size_t weighted(const Question &q, Random &rng) {
  std::vector<double> weights;
  for (const View &it : q.Servers)
    weights.push_back(1 / it.Load.Speed.Factor);
  return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(rng);
}

struct NamedRule {
  const char *Name;
  Rule Choose;
};

const std::array<NamedRule, 7> Rules = {{
    {"today", lowestCost},
    {"lowest time",
     [](const Question &q, Random &) {
       const std::vector<Candidate> from = candidatesOf(q);
       Random unused;
       return chooseCandidate(from, {}, unused);
     }},
    {"two choices", [](const Question &q, Random &rng) { return lowestOf(q, 2, rng); }},
    {"eight choices", [](const Question &q, Random &rng) { return lowestOf(q, 8, rng); }},
    {"spare only",
     [](const Question &q, Random &rng) {
       return chooseCandidate(candidatesOf(q, false), q.Ahead, rng);
     }},
    {"random", weighted},
    {"homes+spare",
     [](const Question &q, Random &rng) { return chooseCandidate(candidatesOf(q), q.Ahead, rng); }},
}};

} // namespace

BOOST_AUTO_TEST_SUITE(BalanceComparison)

// Guards against nodes that choose alike because they know the same old reports, and against
// evenness at the price of prefixes that are read again.
BOOST_AUTO_TEST_CASE(ChosenRuleServesCallersBest) {
  std::vector<Scenario> scenarios;
  for (const auto &[nodes, servers] : {std::pair{9U, 9U}, {63U, 60U}, {295U, 282U}})
    for (const double age : {0.1, 0.3, 1.0})
      scenarios.push_back({nodes, servers, age});
  scenarios.push_back({63, 60, 0.3, 5});
  std::puts("nodes   age lost rule           busiest  p99 ms  in target  swing  again  fetched");
  for (const Scenario &s : scenarios) {
    std::map<std::string, Result> results;
    for (const NamedRule &rule : Rules) {
      const Result it = results[rule.Name] = Play{s, rule.Choose}.run();
      std::printf("%5u %5.1f %4.0f %-14s %7.2f %7.0f %10.4f %6.2f %6.0f %8.0f\n", s.Nodes,
                  s.ReportAge, s.Lost, rule.Name, it.Busiest, it.P99 * 1000, it.InTarget, it.Swing,
                  it.ReadAgain, it.Fetched);
    }
    std::fflush(stdout);
    const Result &chosen = results["homes+spare"];
    BOOST_TEST(chosen.InTarget >= results["today"].InTarget - 0.001);
    BOOST_TEST(chosen.P99 <= results["today"].P99);
    BOOST_TEST(chosen.ReadAgain <= results["today"].ReadAgain + 1);
    if (s.Lost > 0)
      BOOST_TEST(chosen.InTarget >= results["random"].InTarget - 0.001);
  }
}

// Guards against a rule that serves uneven servers at the expense of equal ones, which is how an
// error of the estimated speeds would show, and against constants that hold for one seed only.
BOOST_AUTO_TEST_CASE(EqualServersAreServedNoWorse) {
  std::vector<Scenario> scenarios;
  for (const double rate : {28.0, 36.0, 42.0}) {
    scenarios.push_back({.Nodes = 9, .Servers = 9, .ReportAge = 0.3, .Slow = 1, .Rate = rate});
    scenarios.push_back({.Nodes = 63, .Servers = 60, .ReportAge = 0.3, .Slow = 1, .Rate = rate});
  }
  for (const unsigned seed : {11U, 12U})
    for (const double slow : {1.0, 2.0})
      scenarios.push_back(
          {.Nodes = 63, .Servers = 60, .ReportAge = 0.3, .Slow = slow, .Rate = 36, .Seed = seed});
  std::puts("nodes rate slow seed  p99 ms before, now   in target before, now");
  for (const Scenario &s : scenarios) {
    const Result before = Play{s, Rules.front().Choose}.run();
    const Result now = Play{s, Rules.back().Choose}.run();
    std::printf("%5u %4.0f %4.0f %4u %10.0f %8.0f %12.4f %8.4f\n", s.Nodes, s.Rate, s.Slow, s.Seed,
                before.P99 * 1000, now.P99 * 1000, before.InTarget, now.InTarget);
    // Few nodes hardly overrun a server: there the rules differ by chance only.
    BOOST_TEST(now.InTarget >= before.InTarget);
    BOOST_TEST(now.P99 <= 1.1 * before.P99);
    BOOST_TEST(now.ReadAgain <= before.ReadAgain + 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()
