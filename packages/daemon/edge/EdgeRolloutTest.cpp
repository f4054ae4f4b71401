// A whole node that holds the duty and conducts a rollout, with a stand-in of the store. Requests
// and responses are fed to the node's share of the rollout directly: which server a request gets is
// tested in package relay.
#include "daemon/edge/EdgeFixture.h"

#include "daemon/edge/EdgeDetail.h"
#include "platform/RolloutDocument.h"

#include <algorithm>
#include <cstdio>
#include <vector>

using namespace chervil;
using namespace chervil::daemon;
using namespace chervil::daemon::test;
using rollout::State;
using WriteFault = StoreStandIn::WriteFault;

namespace {

constexpr const char *OrderKey = "op/rollout/app";
constexpr const char *StatusKey = "status/rollout/app";

struct RolloutFixture : Fixture {
  http::ServerPtr Duty;
  Random Rng{7};
  /// Probability of a bad response of the target.
  double TargetBad = 0;
  bool Sends = true;
  std::uint64_t Sent = 0;
  std::uint64_t ToTarget = 0;
  std::uint64_t Bad = 0;
  TimePoint LastToTarget{};
  TimePoint FiftiethBad{};
  /// States that were written, in order.
  std::vector<std::string> Written;

  explicit RolloutFixture(bool hasDuty = true) {
    Duty = std::move(*http::startServer(Node->Loop, Node->Timers, {.Address = "127.0.0.1:0"},
                                        {.OnRequest = [this](http::Request &&r) {
                                          http::respond(*Duty, r.Id, {.Status = 200, .Body = "{}"});
                                        }}));
    Node->Settings.Edge.ExposureShare = 0.1;
    Node->Settings.Edge.ExposureSlack = 50;
    Node->Relay.Settings.Rollouts = true;
    Store.OnWrite = [this](const std::string &key, const std::string &value) {
      if (key == StatusKey)
        Written.push_back(adapter::textOf(*adapter::parseObject(value), "state").value_or(""));
      return WriteFault::None;
    };
    announce(A, "ready", {}, "v1");
    Store.remove("servers/b");
    BOOST_REQUIRE(runUntil([&] {
      const auto &servers = Node->Relay.Servers.Servers;
      return servers.at("a").Entry.Version == "v1" && !servers.contains("b");
    }));
    net::every(Node->Timers, 10ms, [this] {
      for (int i = 0; Sends && i < 3; ++i)
        request();
    });
    if (hasDuty)
      takeDuty();
  }
  ~RolloutFixture() { Duty.reset(); }

  void takeDuty() {
    Node->Settings.Edge.DutyAddress = "127.0.0.1:" + std::to_string(http::port(*Duty));
    BOOST_REQUIRE(runUntil([&] { return duty::isHeld(Node->Lease, net::readNow()); }));
  }

  void order(const char *target = "v2", double seconds = 4) {
    Store.put(OrderKey, {{"service", "app"}, {"target", target}, {"duration-s", seconds}});
  }
  void startTarget() { announce(B, "ready", {}, "v2"); }

  rollout::NodeShare *share() {
    const auto it = Node->Relay.Rollouts.find("app");
    return it == Node->Relay.Rollouts.end() ? nullptr : &it->second.Share;
  }
  bool knowsOrder() { return share() != nullptr && share()->Grant.Target == "v2"; }

  /// One request of the service and its response.
  void request() {
    if (!knowsOrder())
      return;
    const Now now = net::readNow();
    const bool toTarget = takeRequest(*share(), "safe", now, Rng);
    const bool bad = toTarget && std::uniform_real_distribution<double>(0, 1)(Rng) < TargetBad;
    onAnswer(*share(), "safe", toTarget,
             bad ? rollout::AnswerQuality::Failed : rollout::AnswerQuality::Good);
    ++Sent;
    ToTarget += toTarget ? 1 : 0;
    if (toTarget)
      LastToTarget = now.Steady;
    if (bad && ++Bad == 50)
      FiftiethBad = now.Steady;
  }

  const ConductedRollout *conducted() const {
    const auto it = Node->Rollouts.Conducted.find("app");
    return it == Node->Rollouts.Conducted.end() ? nullptr : &it->second;
  }
  bool isIn(State state) const {
    return conducted() != nullptr && conducted()->Controller &&
           conducted()->Controller->State == state;
  }
  bool hasStatus(const char *state) const {
    const auto it = Store.Items.find(StatusKey);
    return it != Store.Items.end() &&
           adapter::textOf(*adapter::parseObject(it->second.first), "state") == state;
  }
  bool hasEnded(std::uint32_t end) { return share() != nullptr && share()->Grant.Ended == end; }
};

/// Another node, which takes grants and sends nothing by itself.
struct RolloutPeer {
  std::vector<message::RolloutGrant> Grants;
  net::PeerTransportPtr Transport;
  std::string NodeAddress;

  explicit RolloutPeer(RolloutFixture &f) : NodeAddress(net::peerAddress(*f.Node->Peers)) {
    auto peer = net::startPeerTransport(
        f.Node->Loop,
        {.Self = {"peer", 1},
         .DataCentre = "z",
         .Listen = "127.0.0.1:0",
         .Secret = "0123456789abcdef"},
        {.OnMessage =
             [this](const NodeId &, const std::string &, message::Message &&m) {
               if (const auto *it = std::get_if<message::RolloutGrant>(&m))
                 Grants.push_back(*it);
             },
         .OnUnreachable = [](const std::string &) {}});
    BOOST_REQUIRE(peer.has_value());
    Transport = std::move(*peer);
  }

  void join(RolloutFixture &f) {
    message::MemberUpdate self;
    self.Id = {"peer", 1};
    self.Region = "r";
    self.DataCentre = "z";
    self.PeerAddress = net::peerAddress(*Transport);
    net::send(*Transport, NodeAddress, message::MemberExchange{{}, {self}, true, true});
    BOOST_REQUIRE(f.runUntil([&] { return f.Node->Relay.LiveNodes == 2; }));
  }
};

constexpr State Steps[] = {State::Waiting, State::Probing, State::Loading, State::Shifting,
                           State::Closing};

/// Brings a good rollout into a state.
void reach(RolloutFixture &f, State state, double seconds = 4) {
  f.order("v2", seconds);
  if (state != State::Waiting)
    f.startTarget();
  BOOST_REQUIRE_MESSAGE(f.runUntil([&] { return f.isIn(state); }, 12s), toString(state));
}

} // namespace

BOOST_AUTO_TEST_SUITE(EdgeRollouts)

// Guards against an order that is not carried out, and nodes that are not told of its end.
BOOST_AUTO_TEST_CASE(GoodVersionIsCompleted) {
  RolloutFixture f;
  f.order();
  BOOST_TEST(f.runUntil([&] { return f.hasStatus("active"); }, 1s));
  f.startTarget();
  BOOST_TEST(f.runUntil([&] { return f.hasEnded(1); }, 8s));
  BOOST_TEST(f.Written == (std::vector<std::string>{"active", "completed"}),
             boost::test_tools::per_element());
  BOOST_TEST(f.Store.Items.at(StatusKey).first == R"({"state":"completed","target":"v2"})");
}

// Guards against a bad version that exceeds its share, or is used after its end.
BOOST_AUTO_TEST_CASE(BadVersionIsReverted) {
  RolloutFixture f;
  f.TargetBad = 0.8;
  f.order();
  f.startTarget();
  BOOST_TEST(f.runUntil([&] { return f.hasStatus("reverted") && f.hasEnded(2); }, 8s));
  const std::uint64_t before = f.ToTarget;
  f.runUntil([] { return false; }, 1s);
  BOOST_TEST(f.ToTarget == before);
  BOOST_TEST(before > 0U);
  BOOST_TEST(double(f.ToTarget) <= 0.1 * double(f.Sent) + 50);
  BOOST_TEST((f.FiftiethBad == TimePoint{} || f.LastToTarget <= f.FiftiethBad + 5s));
  BOOST_TEST(f.Written == (std::vector<std::string>{"active", "reverted"}),
             boost::test_tools::per_element());
}

// Guards against a rollout that does not go on with the next holder.
BOOST_AUTO_TEST_CASE(RolloutGoesOnAfterItsHolderAtEachStep) {
  for (const State step : Steps) {
    RolloutFixture f;
    // Late steps leave time for the next holder before the end of the order.
    reach(f, step, step == State::Shifting || step == State::Closing ? 10 : 4);
    const std::uint64_t id = f.conducted()->Id;
    const std::uint64_t token = f.Node->Lease.FencingToken;
    f.Store.endLease(f.Store.CreatedLeases);
    BOOST_TEST(f.runUntil([&] { return f.conducted() == nullptr; }, 3s), toString(step));
    f.startTarget();
    BOOST_TEST(f.runUntil([&] { return f.hasEnded(1); }, 14s), toString(step));
    BOOST_TEST(f.Node->Lease.FencingToken > token);
    BOOST_TEST(f.conducted()->Id > id);
    BOOST_TEST(f.Written.back() == "completed");
  }
}

// Guards against steps and grants while the store does not answer, and a rollout that does not go
// on afterwards.
BOOST_AUTO_TEST_CASE(RolloutWaitsForTheStoreAtEachStep) {
  for (const State step : Steps) {
    RolloutFixture f;
    reach(f, step);
    f.Store.IsAway = true;
    f.Store.endLease(f.Store.CreatedLeases);
    // Grants of the time before the silence was noticed last for up to 2 s.
    f.runUntil([] { return false; }, 4500ms);
    const std::uint64_t before = f.ToTarget;
    f.runUntil([] { return false; }, 500ms);
    BOOST_TEST(f.ToTarget == before, toString(step));
    BOOST_TEST(!f.hasStatus("completed"), toString(step));
    f.Store.IsAway = false;
    f.startTarget();
    // A rollout that was not accepted in time may be reverted, but it must end.
    BOOST_TEST(f.runUntil([&] { return f.hasStatus("completed") || f.hasStatus("reverted"); }, 15s),
               toString(step));
    const std::uint32_t end = f.hasStatus("completed") ? 1 : 2;
    BOOST_TEST(f.runUntil([&] { return f.hasEnded(end); }, 2s), toString(step));
  }
}

// Guards against a final status that is written again or contradicted because the answer to its
// write was lost, whether the write takes effect at once or later.
BOOST_AUTO_TEST_CASE(FinalStatusWithoutAnAnswerIsReadAgain) {
  for (const bool bad : {false, true})
    for (const WriteFault fault : {WriteFault::LosesAnswer, WriteFault::TakesEffectLate}) {
      RolloutFixture f;
      f.TargetBad = bad ? 0.8 : 0;
      const char *end = bad ? "reverted" : "completed";
      f.Store.OnWrite = [&](const std::string &key, const std::string &value) {
        if (key != StatusKey)
          return WriteFault::None;
        f.Written.push_back(adapter::textOf(*adapter::parseObject(value), "state").value_or(""));
        const bool isFirst = std::ranges::count(f.Written, end) == 1;
        return f.Written.back() == end && isFirst ? fault : WriteFault::None;
      };
      f.order();
      f.startTarget();
      BOOST_TEST(f.runUntil([&] { return f.hasStatus(end); }, 12s), end);
      const auto revision = f.Store.Items.at(StatusKey).second;
      BOOST_TEST(f.runUntil([&] { return f.hasEnded(bad ? 2 : 1); }, 6s), end);
      f.runUntil([] { return false; }, 1s);
      BOOST_TEST(f.Store.Items.at(StatusKey).second == revision, end);
      BOOST_TEST(std::ranges::count(f.Written, end) == 1, end);
    }
}

// Guards against requests to a target whose order no holder has taken up yet.
BOOST_AUTO_TEST_CASE(OrderWithoutAHolderGrantsNothing) {
  RolloutFixture f(false);
  f.order();
  f.startTarget();
  BOOST_TEST(f.runUntil([&] { return f.knowsOrder(); }, 1s));
  f.runUntil([] { return false; }, 1s);
  BOOST_TEST(f.Sent > 0U);
  BOOST_TEST(f.ToTarget == 0U);
  BOOST_TEST(f.Written.empty());
  f.takeDuty();
  BOOST_TEST(f.runUntil([&] { return f.hasStatus("active") && f.ToTarget > 0; }, 2s));
}

// Guards against old servers that stop while a node uses them that the holder doesn't hear, and
// against a node that doesn't learn of the end then.
BOOST_AUTO_TEST_CASE(NodeWithoutContactObjectsAndLearnsTheEnd) {
  for (const std::uint32_t end : {1U, 2U}) {
    RolloutFixture f(false);
    f.order();
    f.startTarget();
    BOOST_REQUIRE(f.runUntil([&] { return f.knowsOrder(); }, 1s));
    const auto write = [&](const char *state) {
      f.Store.put(StatusKey, {{"state", state}, {"target", "v2"}});
      return f.Store.Items.at(StatusKey).second;
    };
    std::uint64_t revision = write("active");
    const std::string value = f.Store.Items.at(StatusKey).first;
    // The holder waits for 3 s for the next objection.
    for (int i = 0; i < 3; ++i) {
      BOOST_TEST(
          f.runUntil([&] { return f.Store.Items.at(StatusKey).second != revision; }, 2500ms));
      BOOST_TEST(f.Store.Items.at(StatusKey).first == value);
      revision = f.Store.Items.at(StatusKey).second;
    }
    revision = write(end == 1 ? "completed" : "reverted");
    BOOST_TEST(f.runUntil([&] { return f.hasEnded(end); }, 2500ms));
    f.runUntil([] { return false; }, 1500ms);
    BOOST_TEST(f.Store.Items.at(StatusKey).second == revision);
  }
}

// Guards against an objection that is overlooked: the write of `completed` must not replace it, and
// the rollout must still be completed once no more come.
BOOST_AUTO_TEST_CASE(ObjectionHoldsTheCompletionBack) {
  RolloutFixture f;
  TimePoint objected{};
  f.Store.OnWrite = [&](const std::string &key, const std::string &value) {
    if (key != StatusKey)
      return WriteFault::None;
    f.Written.push_back(adapter::textOf(*adapter::parseObject(value), "state").value_or(""));
    if (f.Written.back() == "completed" && objected == TimePoint{}) {
      objected = net::readNow().Steady;
      f.Store.put(StatusKey, {{"state", "active"}, {"target", "v2"}});
    }
    return WriteFault::None;
  };
  f.order();
  f.startTarget();
  BOOST_TEST(f.runUntil([&] { return f.hasEnded(1); }, 14s));
  BOOST_TEST((net::readNow().Steady - objected >= 3s));
  BOOST_TEST(f.Written == (std::vector<std::string>{"active", "completed", "completed"}),
             boost::test_tools::per_element());
}

// Guards against requests that go to the target without a grant or after its end, and against a
// holder that does not learn how the target answers.
BOOST_AUTO_TEST_CASE(RequestsOfCallersFollowTheGrants) {
  RolloutFixture f(false);
  f.Sends = false;
  f.order();
  f.startTarget();
  f.B.Behave = [&](const http::Request &r) {
    http::respond(*f.B.Server, r.Id, {.Status = 500, .Fields = f.B.marks(r), .Body = "bad"});
    return true;
  };
  BOOST_REQUIRE(
      f.runUntil([&] { return f.knowsOrder() && f.Node->Relay.Servers.Servers.contains("b"); }));
  const auto askFor = [&](std::chrono::milliseconds time) {
    const TimePoint end = net::readNow().Steady + time;
    while (net::readNow().Steady < end && !f.hasEnded(2)) {
      f.ask("GET", "/app/x");
      f.runUntil([] { return false; }, 2ms);
    }
  };
  askFor(500ms);
  BOOST_TEST(f.A.Ran.size() > 10U);
  BOOST_TEST(f.B.Ran.empty());
  f.takeDuty();
  askFor(6s);
  BOOST_TEST(f.runUntil([&] { return f.hasStatus("reverted"); }, 1s));
  BOOST_TEST(!f.B.Ran.empty());
  BOOST_TEST(double(f.B.Ran.size()) <= 0.1 * double(f.A.Ran.size() + f.B.Ran.size()) + 50);
  const std::size_t before = f.B.Ran.size();
  for (int i = 0; i < 50; ++i)
    BOOST_TEST(f.ask("GET", "/app/x").Status == 200);
  BOOST_TEST(f.B.Ran.size() == before);
  BOOST_TEST(metricsText(*f.Node).find(
                 "chervil_rollout_responses_total{reason=\"target_failed\"}") != std::string::npos);
}

// Guards against an order for the version in force that lasts or harms.
BOOST_AUTO_TEST_CASE(OrderForTheVersionInForceIsCompletedAtOnce) {
  RolloutFixture f;
  f.order("v1");
  BOOST_TEST(f.runUntil([&] { return f.hasStatus("completed") && f.hasEnded(1); }, 1s));
  BOOST_TEST(f.Written == std::vector<std::string>{"completed"}, boost::test_tools::per_element());
}

// Guards against an unreadable order that is acted on, reported again and again, or hides a
// readable one.
BOOST_AUTO_TEST_CASE(UnreadableOrderIsIgnored) {
  RolloutFixture f;
  const auto counted = [&] {
    return metricsText(*f.Node).find(
               "chervil_bad_rollout_order_total{reason=\"unreadable\"} 1\n") != std::string::npos;
  };
  f.Store.put(OrderKey, {{"service", "app"}, {"target", 7}});
  BOOST_TEST(f.runUntil(counted, 1s));
  f.Store.put("op/config", configurationDocument(2));
  BOOST_TEST(f.runUntil([&] { return f.Node->Relay.Config->Version == 2; }, 1s));
  BOOST_TEST(counted());
  BOOST_TEST(f.Written.empty());
  BOOST_TEST(f.Node->Relay.Rollouts.empty());
  f.order();
  BOOST_TEST(f.runUntil([&] { return f.hasStatus("active"); }, 1s));
}

// Guards against an order that is conducted although it was withdrawn, or is not in the older copy
// from which the store has come back.
BOOST_AUTO_TEST_CASE(OrderThatIsGoneIsNotConducted) {
  for (const bool restored : {false, true}) {
    RolloutFixture f;
    const auto copy = f.Store.Items;
    const auto revision = f.Store.Revision;
    reach(f, State::Probing);
    if (restored)
      f.Store.restore(copy, revision);
    else
      f.Store.remove(OrderKey);
    BOOST_TEST(f.runUntil([&] { return f.conducted() == nullptr; }, 2s));
    f.runUntil([] { return false; }, 1100ms);
    const std::uint64_t before = f.ToTarget;
    const std::size_t written = f.Written.size();
    f.runUntil([] { return false; }, 1s);
    BOOST_TEST(f.ToTarget == before);
    BOOST_TEST(f.Written.size() == written);
    BOOST_TEST(f.conducted() == nullptr);
  }
}

// Guards against a second order that inherits budget or end of the first.
BOOST_AUTO_TEST_CASE(SecondOrderForAnEndedTargetBeginsAnew) {
  RolloutFixture f;
  f.TargetBad = 0.8;
  f.order();
  f.startTarget();
  BOOST_TEST(f.runUntil([&] { return f.hasEnded(2); }, 8s));
  f.TargetBad = 0;
  f.order();
  BOOST_TEST(f.runUntil([&] { return f.hasEnded(1); }, 8s));
  BOOST_TEST(f.Written == (std::vector<std::string>{"active", "reverted", "active", "completed"}),
             boost::test_tools::per_element());
}

// Guards against nodes that get no grant: their reports are not answered, or before this node
// conducts the rollout.
BOOST_AUTO_TEST_CASE(ReportOfAnotherNodeIsAnswered) {
  RolloutFixture f;
  RolloutPeer peer(f);
  const auto &grants = peer.Grants;
  message::RolloutReport report;
  report.Service = "app";
  report.Node = "peer/1";
  report.Seq = 1;
  report.Seen = 5;
  net::send(*peer.Transport, peer.NodeAddress, report);
  f.runUntil([] { return false; }, 300ms);
  BOOST_TEST(grants.empty());
  reach(f, State::Probing);
  report.Order = f.conducted()->Order.Revision;
  net::send(*peer.Transport, peer.NodeAddress, report);
  BOOST_TEST(f.runUntil([&] { return !grants.empty(); }, 1s));
  BOOST_TEST(grants.front().Target == "v2");
  BOOST_TEST(grants.front().Seq == 1U);
  BOOST_TEST(grants.front().Token == f.Node->Lease.FencingToken);
  BOOST_TEST(f.conducted()->Controller->Nodes.contains("peer/1"));
}

// Guards against a node that goes on with versions as before an order, or with a target that was
// reverted, because it reads no orders itself and does not report.
BOOST_AUTO_TEST_CASE(SilentNodeIsToldOfAnOrderAndItsEnd) {
  RolloutFixture f(false);
  RolloutPeer peer(f);
  peer.join(f);
  f.order();
  BOOST_TEST(f.runUntil([&] { return !peer.Grants.empty(); }, 1s));
  BOOST_TEST(peer.Grants.back().Target == "v2");
  BOOST_TEST(peer.Grants.back().Token == 0U);
  f.runUntil([] { return false; }, 500ms);
  BOOST_TEST(peer.Grants.size() == 1U);
  f.takeDuty();
  BOOST_TEST(f.runUntil([&] { return peer.Grants.size() >= 3; }, 2s));
  BOOST_TEST(peer.Grants.back().Token == f.Node->Lease.FencingToken);
  BOOST_TEST(peer.Grants.back().Seq == 0U);
  BOOST_TEST(peer.Grants.back().Ended == 0U);
  f.TargetBad = 0.8;
  f.startTarget();
  BOOST_TEST(f.runUntil([&] { return peer.Grants.back().Ended == 2; }, 8s));
}

// Guards against a bound that the node cannot keep and nobody hears of.
BOOST_AUTO_TEST_CASE(RollbackTimeThatIsTooShortIsLogged) {
  RolloutFixture f(false);
  const auto isLogged = [&] {
    f.Node->Log.Buffer.clear();
    detail::checkRolloutSettings(*f.Node);
    return f.Node->Log.Buffer.find("rollback_time_short") != std::string::npos;
  };
  BOOST_TEST(!isLogged());
  f.Node->Settings.Edge.RollbackTime = 3s;
  BOOST_TEST(isLogged());
  f.Node->Relay.Settings.Rollouts = false;
  BOOST_TEST(!isLogged());
}

// Guards against work for rollouts where there is no order or the settings leave them out.
BOOST_AUTO_TEST_CASE(WithoutAnOrderNothingIsDone) {
  for (const bool isOn : {true, false}) {
    RolloutFixture f;
    f.Node->Relay.Settings.Rollouts = isOn;
    std::FILE *log = std::tmpfile();
    BOOST_REQUIRE(log != nullptr);
    f.Node->Log.Descriptor = fileno(log);
    std::size_t calls = 0;
    f.Store.OnCall = [&](const http::Request &r) {
      calls += r.Head.Target.find("rollout") != std::string::npos ||
                       r.Body.find("rollout") != std::string::npos
                   ? 1U
                   : 0U;
    };
    if (!isOn)
      f.order();
    f.startTarget();
    f.runUntil([] { return false; }, 1500ms);
    flush(f.Node->Log);
    std::rewind(log);
    std::string text(std::size_t{1} << 16U, '\0');
    text.resize(std::fread(text.data(), 1, text.size(), log));
    std::fclose(log);
    f.Node->Log.Descriptor = -1;
    BOOST_TEST(calls == 0U);
    BOOST_TEST(text.find("rollout") == std::string::npos);
    BOOST_TEST(f.Node->Relay.Rollouts.empty());
    BOOST_TEST(f.Node->Rollouts.Conducted.empty());
    BOOST_TEST(f.Node->Rollouts.NextReport.time_since_epoch().count() == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()
