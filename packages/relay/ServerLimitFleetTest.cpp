// Many nodes before servers that limit the requests of all nodes together.
#include "relay/RelayFixture.h"

#include "base/Hash.h"
#include "limits/ServerLimitHome.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>

using namespace chervil;
using namespace chervil::relay;
using namespace chervil::relay::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration Latency = 1ms;
constexpr Duration ServiceTime = 60ms;

struct ServerModel {
  std::optional<double> Limit;
  std::vector<TimePoint> Arrivals;
};

struct NodeModel {
  State S;
  limits::ServerLimitHome Home;
  bool IsAlive = true;
};

/// Event of the simulation; events at one time happen in the order in which they were added.
struct Later {
  TimePoint At{};
  std::uint64_t Order = 0;
  std::function<void()> Work;
  bool operator>(const Later &other) const {
    return std::tie(At, Order) > std::tie(other.At, other.Order);
  }
};

struct Fleet {
  Random Rng{5};
  TimePoint Time{1000s};
  std::vector<NodeModel> Nodes;
  std::map<std::string, ServerModel> Servers;
  std::priority_queue<Later, std::vector<Later>, std::greater<>> Events;
  std::uint64_t NextOrder = 1;
  RequestId NextRequest = 1;
  std::size_t Answered = 0;
  std::size_t Refused = 0;
  std::size_t Claims = 0;

  Fleet(std::size_t nodes, std::size_t servers) : Nodes(nodes) {
    std::vector<BackendEntry> list;
    for (std::size_t i = 0; i < servers; ++i) {
      const std::string id = "s" + std::to_string(i);
      Servers[id];
      list.push_back({.Id = id, .Service = "app", .Address = id, .DataCentre = "a", .Slots = 8});
    }
    for (NodeModel &it : Nodes) {
      it.S = makeState({.Node = "n", .DataCentre = "a"});
      Configuration c = configuration();
      c.Services["app"].MaxConnections = 0;
      configure(it.S, std::make_shared<const Configuration>(std::move(c)));
      it.S.LiveNodes = nodes;
      Effects out;
      onBackendList(it.S, list, false, out, now());
    }
  }

  Now now() const { return {Time, WallTime(1000s)}; }

  void after(Duration time, std::function<void()> work) {
    Events.push({Time + time, NextOrder++, std::move(work)});
  }

  /// Handles an event at a node, and what follows from it.
  void at(std::size_t node, const std::function<void(State &, Effects &)> &handler) {
    if (!Nodes[node].IsAlive)
      return;
    Effects out;
    handler(Nodes[node].S, out);
    for (const Effect &it : out)
      carryOut(node, it);
  }

  void carryOut(std::size_t node, const Effect &effect) {
    if (const auto *call = std::get_if<CallBackend>(&effect))
      after(Latency, [this, node, id = call->Call, to = call->Backend] { serve(node, id, to); });
    else if (const auto *claim = std::get_if<ClaimSend>(&effect))
      sendClaim(node, claim->Claim);
    else if (const auto *gossip = std::get_if<Gossip>(&effect))
      spread(node, gossip->Message);
    Answered += std::holds_alternative<ForwardAnswer>(effect) ? 1 : 0;
    Refused += std::holds_alternative<Refuse>(effect) ? 1 : 0;
  }

  void serve(std::size_t node, CallId id, const std::string &server) {
    Servers[server].Arrivals.push_back(Time);
    after(ServiceTime, [this, node, id, server] {
      const auto limit = Servers[server].Limit;
      const StatedLimit stated = limit ? StatedLimit{StatedLimit::Kind::Limited, *limit}
                                       : StatedLimit{StatedLimit::Kind::Unlimited};
      at(node, [&](State &s, Effects &out) {
        onBackendHead(s, id, {.Status = 200, .IsGenuine = true, .Limit = stated}, out, now(), Rng);
        onBackendBytes(s, id, "x", out, now(), Rng);
        onBackendEnd(s, id, BackendEnd::Complete, out, now(), Rng);
      });
    });
  }

  std::size_t homeOf(const std::string &server) const {
    std::size_t best = 0;
    std::uint64_t bestRank = 0;
    for (std::size_t i = 0; i < Nodes.size(); ++i)
      if (const std::uint64_t rank = hashBytes(server, i); Nodes[i].IsAlive && rank > bestRank) {
        best = i;
        bestRank = rank;
      }
    return best;
  }

  void sendClaim(std::size_t node, const message::SendClaim &claim) {
    ++Claims;
    after(Latency, [this, node, claim] {
      const std::size_t home = homeOf(claim.Backend);
      message::SendGrant grant{claim.Seq, true, {}};
      at(home, [&](State &s, Effects &out) {
        if (const auto limit = limitOfClaim(s, claim, out, now()))
          grant = limits::grantSend(Nodes[home].Home, claim, limits::GrantRole::Home, *limit,
                                    {Nodes.size(), Nodes.size()}, now());
      });
      after(Latency, [this, node, grant] {
        at(node, [&](State &s, Effects &out) { onSendGrant(s, grant, out, now(), Rng); });
      });
    });
  }

  void spread(std::size_t from, const message::Message &m) {
    const auto *limits = std::get_if<message::BackendLimits>(&m);
    for (std::size_t i = 0; limits != nullptr && i < Nodes.size(); ++i)
      if (i != from)
        after(Latency, [this, i, limits = *limits] {
          at(i, [&](State &s, Effects &out) { onBackendLimits(s, limits, out, now()); });
        });
  }

  void request(std::size_t node) {
    at(node, [&](State &s, Effects &out) {
      RequestInfo info;
      info.AttemptId = "a";
      info.Host = "h";
      info.Path = "/safe/x";
      info.Key = "key";
      info.Deadline = 2000ms;
      onRequest(s, NextRequest++, info, Time, out, now(), Rng);
    });
  }

  /// Runs for `time` with `perSecond` requests at all nodes together.
  void run(Duration time, double perSecond) {
    constexpr Duration step = 20ms;
    std::poisson_distribution<int> arrivals(perSecond *
                                            std::chrono::duration<double>(step).count());
    std::uniform_int_distribution<std::size_t> pick(0, Nodes.size() - 1);
    for (const TimePoint end = Time + time; Time < end;) {
      for (int n = arrivals(Rng); n > 0; --n)
        request(pick(Rng));
      for (std::size_t i = 0; i < Nodes.size(); ++i)
        at(i, [&](State &s, Effects &out) { tick(s, out, now(), Rng); });
      const TimePoint next = Time + step;
      while (!Events.empty() && Events.top().At <= next) {
        const Later event = Events.top();
        Events.pop();
        Time = std::max(Time, event.At);
        event.Work();
      }
      Time = next;
    }
  }

  /// Largest ratio of what a limited server got in 4 s to what its limit allows then, from `since`.
  double worstExcess(TimePoint since) const {
    double worst = 0;
    for (const auto &[id, server] : Servers) {
      if (!server.Limit)
        continue;
      const auto &times = server.Arrivals;
      auto first = std::ranges::lower_bound(times, since);
      for (auto it = first; it != times.end(); ++it) {
        while (*it - *first >= 4s)
          ++first;
        const double got = static_cast<double>(it - first + 1);
        worst = std::max(worst, got / (1.5 * 4 * *server.Limit + 5));
      }
    }
    return worst;
  }

  void limit(std::size_t servers, double perSecond) {
    for (std::size_t i = 0; i < servers; ++i)
      Servers["s" + std::to_string(i)].Limit = perSecond;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayServerLimitFleet)

// Guards against nodes that together send a server more than the limit that it has stated, and
// against callers who are refused although servers without limit have room.
BOOST_AUTO_TEST_CASE(NodesTogetherKeepToTheLimit) {
  for (const std::size_t nodes : {7U, 61U, 295U}) {
    Fleet f(nodes, 18);
    f.run(2s, 70);
    f.limit(13, 1.2);
    const TimePoint limited = f.Time;
    f.run(15s, 70);
    BOOST_TEST(f.worstExcess(limited + 3s) <= 1.0,
               nodes << " nodes: " << f.worstExcess(limited + 3s));
    BOOST_TEST(f.Refused == 0U, nodes << " nodes refused " << f.Refused);
  }
}

// Guards against a limit that is exceeded, or that is used by half only, when no server of the
// service is without one.
BOOST_AUTO_TEST_CASE(LimitsOfAllServersAreKeptAndUsed) {
  Fleet f(7, 18);
  f.limit(18, 2);
  f.run(3s, 60);
  const std::size_t before = f.Answered;
  const TimePoint since = f.Time;
  f.run(15s, 60);
  BOOST_TEST(f.worstExcess(since) <= 1.0);
  BOOST_TEST(double(f.Answered - before) >= 0.8 * 15 * 18 * 2);
}

// Guards against a limit that is exceeded because its home dies with what it knows.
BOOST_AUTO_TEST_CASE(LimitIsKeptWhileHomesDie) {
  Fleet f(9, 6);
  f.limit(6, 3);
  f.run(3s, 60);
  const TimePoint since = f.Time;
  for (int i = 0; i < 4; ++i) {
    f.run(2s, 60);
    f.Nodes[f.homeOf("s0")].IsAlive = false;
  }
  BOOST_TEST(f.worstExcess(since) <= 1.0);
}

// Guards against a server that stays limited although it no longer states a limit.
BOOST_AUTO_TEST_CASE(ServerIsUsedAgainWhenItsLimitEnds) {
  Fleet f(61, 2);
  f.limit(1, 1);
  f.run(5s, 40);
  f.Servers["s0"].Limit.reset();
  f.run(3s, 40);
  const std::size_t before = f.Servers["s0"].Arrivals.size();
  f.run(5s, 40);
  BOOST_TEST(f.Servers["s0"].Arrivals.size() - before > 50U);
}

// Guards against limits that change with each answer and cost a message to each node each time.
BOOST_AUTO_TEST_CASE(ChangingLimitIsKept) {
  Fleet f(7, 4);
  f.limit(4, 4);
  f.run(3s, 60);
  const TimePoint since = f.Time;
  std::uniform_real_distribution<double> rate(3, 4);
  for (int i = 0; i < 300; ++i) {
    f.limit(4, rate(f.Rng));
    f.run(40ms, 60);
  }
  f.limit(4, 3);
  BOOST_TEST(f.worstExcess(since) <= 1.0);
}

BOOST_AUTO_TEST_SUITE_END()
