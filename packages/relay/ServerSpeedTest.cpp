// How the speed of servers is learned from answers, shared in load reports, and used for choices.
#include "relay/Backends.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace chervil;
using namespace chervil::relay;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Servers = 4;
const std::string Slow = "e0";
const std::vector<PromptPart> Prompt = {{1, 13000}, {2, 1000}};

/// A node that knows four servers, of which the first takes twice as long.
struct SpeedFixture {
  Backends B;
  Now Time{TimePoint(1000s), WallTime(1000s)};
  Random Rng{1};

  SpeedFixture() {
    std::vector<BackendEntry> list;
    for (unsigned i = 0; i < Servers; ++i)
      list.push_back({.Id = "e" + std::to_string(i),
                      .Service = "m",
                      .Address = "10.0.0.1:1",
                      .DataCentre = "a",
                      .Slots = 64});
    applyList(B, list, false, Time);
  }

  void wait(Duration d) { Time.Steady += d; }

  /// A prompt is read at each server.
  void readEverywhere() {
    for (const auto &[id, it] : B.Servers)
      onPromptRead(B, id, {.TokensBefore = 6000, .CertainPart = 1}, id == Slow ? 200ms : 100ms,
                   Time);
  }

  double factorOf(const std::string &id) const { return speedOf(B, B.Servers.at(id), Time).Factor; }

  Choice choose() {
    SelectionCriteria criteria;
    criteria.Service = "m";
    criteria.Prompt = Prompt;
    return chooseServer(B, criteria, Time, Rng);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayServerSpeed)

// Guards against a slow server that is taken for an average one, and against an estimate that
// outlives its samples.
BOOST_AUTO_TEST_CASE(SlowServerShowsWithinTwoSeconds) {
  SpeedFixture f;
  for (int i = 0; i < 20; ++i) {
    f.readEverywhere();
    f.wait(100ms);
  }
  BOOST_TEST(f.factorOf(Slow) > 1.5);
  BOOST_TEST(f.factorOf("e1") < 1);
  f.wait(10s);
  BOOST_TEST(f.factorOf(Slow) < 1.1);
}

// Guards against streams that tell nothing of the speed of their servers.
BOOST_AUTO_TEST_CASE(EventsOfStreamsAreSamples) {
  SpeedFixture f;
  for (int i = 0; i < 20; ++i) {
    for (const auto &[id, it] : f.B.Servers)
      onEventsTimed(f.B, id, 16, id == Slow ? 600ms : 300ms, f.Time);
    f.wait(100ms);
  }
  BOOST_TEST(f.factorOf(Slow) > 1.5);
}

// Guards against nodes that learn a slow server only by their own requests, and against evidence of
// an earlier start that is used for the next one.
BOOST_AUTO_TEST_CASE(PeersLearnTheSpeedFromLoadReports) {
  SpeedFixture f;
  SpeedFixture peer;
  for (int i = 0; i < 20; ++i) {
    f.readEverywhere();
    f.wait(100ms);
  }
  // Reports list servers with work of the sender.
  onRequestSent(f.B, Slow, 1000);
  peer.Time = f.Time;
  applyReport(peer.B.Peers, "n1", localLoads(f.B, f.Time), peer.Time);
  BOOST_TEST(peer.factorOf(Slow) > 1.4);
  peer.wait(PeerReportLifetime + PeerReportSweepPeriod + 1ms);
  removeExpired(peer.B.Peers, peer.Time);
  BOOST_TEST(peer.factorOf(Slow) == 1);

  std::vector<BackendEntry> restarted;
  for (const auto &[id, it] : f.B.Servers) {
    restarted.push_back(it.Entry);
    restarted.back().Born = 7;
  }
  applyList(f.B, restarted, false, f.Time);
  BOOST_TEST(f.factorOf(Slow) == 1);
}

// Guards against nodes that all choose the same server because they know the same old reports, and
// against a slow server that gets as much as a fast one.
BOOST_AUTO_TEST_CASE(ChoicesFromTheSameReportsSpreadByRoom) {
  SpeedFixture f;
  for (int i = 0; i < 20; ++i) {
    f.readEverywhere();
    f.wait(100ms);
  }
  // The home of the prefix is full, so that all of its requests go elsewhere.
  const std::string home = f.choose().Server->Entry.Id;
  message::BackendLoads report;
  report.Loads.push_back({.Backend = home, .PendingTokens = 400'000});
  report.Demands.push_back({.Service = "m", .TokensPerSecond = 300'000});
  applyReport(f.B.Peers, "n1", report, f.Time);
  f.wait(300ms);
  std::map<std::string, int> chosen;
  for (int i = 0; i < 300; ++i)
    ++chosen[f.choose().Server->Entry.Id];
  BOOST_TEST(chosen[home] == 0);
  BOOST_TEST(chosen.size() == Servers);
  if (home != Slow)
    for (const auto &[id, n] : chosen)
      if (id != home && id != Slow)
        BOOST_TEST(n > chosen[Slow]);
}

// Guards against a choice that differs from the lowest expected sum where no other node chooses.
BOOST_AUTO_TEST_CASE(SingleNodeTakesTheLowestSum) {
  SpeedFixture f;
  const std::string first = f.choose().Server->Entry.Id;
  for (int i = 0; i < 50; ++i)
    BOOST_TEST(f.choose().Server->Entry.Id == first);
  onRequestSent(f.B, first, 100'000);
  BOOST_TEST(f.choose().Server->Entry.Id != first);
}

BOOST_AUTO_TEST_SUITE_END()
