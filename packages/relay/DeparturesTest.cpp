#include "relay/Departures.h"

#include "relay/BackendListSync.h"
#include "relay/RelayFixture.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::relay;
using namespace std::chrono_literals;
using enum message::DepartureKind;

namespace {

const Now Start{TimePoint(1000s), WallTime(1000s)};

Now later(Duration d) { return {Start.Steady + d, Start.Wall}; }

store::Position at(std::uint64_t revision, std::uint64_t era = 1) { return {era, revision}; }

BackendEntry entry(const char *id, std::uint64_t born) {
  return {.Id = id, .Service = "m", .Address = "10.0.0.1:1", .DataCentre = "a", .Born = born};
}

message::BackendDeparture departure(message::DepartureKind kind, std::uint64_t born,
                                    const store::Position &position) {
  return {"e", born, kind, "other", 20ms, position.Era, position.Revision};
}

/// A node that has listed server "e" with start 5 at revision 10.
struct Listed {
  Backends B;
  Listed() {
    B.Node = "n";
    applyList(B, {{entry("e", 5)}}, false, Start, at(10));
  }
  bool getsRequests() const {
    const auto it = B.Servers.find("e");
    return it != B.Servers.end() && !it->second.Leaving;
  }
  void list(std::uint64_t born, std::uint64_t revision, bool draining = false) {
    BackendEntry it = entry("e", born);
    it.Draining = draining;
    applyList(B, {{it}}, false, Start, at(revision));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayDepartures)

// Guards against a server that gets no requests for a time after it was cut off from the store and
// is listed again with the same start.
BOOST_AUTO_TEST_CASE(RelistedServerGetsRequestsAtOnce) {
  Listed node;
  const auto lapsed = applyList(node.B, {}, false, Start, at(11));
  BOOST_REQUIRE_EQUAL(lapsed.size(), 1U);
  BOOST_TEST((lapsed[0].Kind == Lapsed));
  BOOST_TEST(lapsed[0].Source == "n");
  BOOST_TEST(!node.getsRequests());
  // Peers return the report.
  BOOST_TEST(!applyDeparture(node.B, lapsed[0], Start));
  node.list(5, 12);
  BOOST_TEST(node.getsRequests());
  BOOST_TEST(node.B.Departures.Facts.empty());
}

// Guards against the same while requests still run on the server.
BOOST_AUTO_TEST_CASE(RelistedServerWithRequestsGetsRequestsAtOnce) {
  Listed node;
  onRequestSent(node.B, "e", 0);
  applyList(node.B, {}, false, Start, at(11));
  applyList(node.B, {}, false, Start, at(12));
  BOOST_TEST(!node.getsRequests());
  node.list(5, 13);
  BOOST_TEST(node.getsRequests());
}

// Guards against a peer's late copy of a lapse that ends the use of a server that is back, whether
// it is listed or has lapsed again and come back since.
BOOST_AUTO_TEST_CASE(OldCopyOfALapseIsIgnored) {
  Listed node;
  const auto lapsed = applyList(node.B, {}, false, Start, at(11));
  node.list(5, 12);
  BOOST_TEST(!applyDeparture(node.B, lapsed.at(0), later(1s)));
  BOOST_TEST(node.getsRequests());
  applyList(node.B, {}, false, later(2s), at(13));
  BOOST_TEST(!applyDeparture(node.B, lapsed.at(0), later(2s)));
  node.list(5, 14);
  BOOST_TEST(node.getsRequests());
  // The store is back from an older copy: its revisions are lower, and the era is later.
  applyList(node.B, {{entry("e", 5)}}, false, later(3s), at(3, 2));
  BOOST_TEST(!applyDeparture(node.B, departure(Lapsed, 5, at(20)), later(3s)));
  BOOST_TEST(node.getsRequests());
}

// Guards against a lapse that a peer knows first and that is ignored, or that a list from before
// the lapse ends.
BOOST_AUTO_TEST_CASE(LapseKnownToAPeerFirstCountsUntilALaterReading) {
  Listed node;
  BOOST_TEST(applyDeparture(node.B, departure(Lapsed, 5, at(20)), Start));
  node.list(5, 15);
  BOOST_TEST(!node.getsRequests());
  node.list(5, 21);
  BOOST_TEST(node.getsRequests());
  // A peer's reading at the position of the own list, which still has the entry: it was kept.
  BOOST_TEST(applyDeparture(node.B, departure(Lapsed, 5, at(21)), Start));
  BOOST_TEST(!node.getsRequests());
  // A later reading that gives the same list, which is not applied anew.
  confirmList(node.B, at(22));
  BOOST_TEST(node.getsRequests());
}

// Guards against new work for a server that has said that it leaves or was draining: its entry may
// be listed as ready again, and its report may be old, without another start.
BOOST_AUTO_TEST_CASE(StatementsOfAServerEndWithAnotherStartOnly) {
  for (const bool saysInAnswer : {true, false}) {
    Listed node;
    if (saysInAnswer)
      BOOST_TEST(applyDeparture(node.B, makeDeparture(node.B, {"e", 5}, Announced), Start));
    else
      node.list(5, 11, true);
    for (int hour = 0; hour < 3; ++hour) {
      applyList(node.B, {{entry("e", 5)}}, false, later(std::chrono::hours(hour)), at(12));
      BOOST_TEST(!node.getsRequests());
    }
    // It lapses and returns.
    applyList(node.B, {}, false, later(3h), at(13));
    applyList(node.B, {{entry("e", 5)}}, false, later(3h + 5min), at(14));
    BOOST_TEST(!node.getsRequests());
    // The store is unavailable, so that entries are missing.
    applyList(node.B, {}, true, later(4h), at(15));
    BOOST_TEST(!node.getsRequests());
    node.list(6, 16);
    BOOST_TEST(node.getsRequests());
  }
}

// Guards against a restarted server whose wall clock is behind and that is taken for an earlier
// start.
BOOST_AUTO_TEST_CASE(StartWithAnEarlierClockIsANewStart) {
  Listed node;
  applyDeparture(node.B, makeDeparture(node.B, {"e", 5}, Announced), Start);
  pauseServer(node.B, "e", 60s, Start);
  for (int i = 0; i < 3; ++i)
    recordOutcome(node.B, "e", SendOutcome::Broken, Start);
  node.list(4, 11);
  BOOST_TEST(node.getsRequests());
  const Backend &server = node.B.Servers.at("e");
  BOOST_TEST((server.NothingUntil == TimePoint{}));
  BOOST_TEST((server.AvoidUntil == TimePoint{}));
  // A peer that still lists the earlier start reports about that one.
  BOOST_TEST(!applyDeparture(node.B, departure(Announced, 5, at(10)), Start));
  BOOST_TEST(node.getsRequests());
  // One that lists a start of which this node does not know yet.
  BOOST_TEST(applyDeparture(node.B, departure(Announced, 3, at(12)), Start));
  BOOST_TEST(node.getsRequests());
  node.list(3, 12);
  BOOST_TEST(!node.getsRequests());
}

// Guards against servers without a known start that never get requests again after a restart.
BOOST_AUTO_TEST_CASE(OtherAddressIsANewStartIfTheStartIsUnknown) {
  Listed node;
  node.list(0, 11, true);
  BOOST_TEST(!node.getsRequests());
  BackendEntry it = entry("e", 0);
  it.Address = "10.0.0.2:1";
  applyList(node.B, {{it}}, false, Start, at(12));
  BOOST_TEST(node.getsRequests());
}

// Guards against an entry that a peer keeps after its own outage and that ends a lapse known to
// nodes that had none.
BOOST_AUTO_TEST_CASE(EntryKeptByAPeerDoesNotEndALapse) {
  Listed cutOff;
  applyList(cutOff.B, {}, true, Start, at(12));
  const auto copy = toEntries(takeListSnapshot(cutOff.B));
  BOOST_REQUIRE_EQUAL(copy.size(), 1U);
  Listed node;
  applyList(node.B, {}, false, Start, at(11));
  applyList(node.B, copy, false, Start, at(12));
  BOOST_TEST(!node.getsRequests());
  // A node that knows no more than the peer keeps the entry too.
  Listed another;
  applyList(another.B, copy, false, Start, at(12));
  BOOST_TEST(another.getsRequests());
  BOOST_TEST(another.B.Servers.at("e").MissingSince.has_value());
}

// Guards against a restarted node that lacks what its peers know, and against facts that lose their
// source, age or end on the way.
BOOST_AUTO_TEST_CASE(RestartedNodeLearnsFactsFromAPeer) {
  Listed peer;
  applyDeparture(peer.B, makeDeparture(peer.B, {"e", 5}, Announced), Start);
  const auto facts = departuresOf(peer.B, takeListSnapshot(peer.B), later(3s));
  BOOST_REQUIRE_EQUAL(facts.size(), 1U);
  Listed restarted;
  restarted.B.Node = "m";
  BOOST_TEST(applyDeparture(restarted.B, facts[0], later(3s)));
  BOOST_TEST(!restarted.getsRequests());
  const Departure &fact = restarted.B.Departures.Facts.at({"e", 5});
  BOOST_TEST((fact.Kind == Announced));
  BOOST_TEST(fact.Source == "n");
  BOOST_TEST((fact.At == Start.Steady));
  BOOST_TEST((fact.Position == at(10)));
}

// Guards against facts about servers that are gone and that accumulate.
BOOST_AUTO_TEST_CASE(FactsOfServersThatAreGoneAreDropped) {
  Listed node;
  applyList(node.B, {}, false, Start, at(11));
  applyList(node.B, {}, false, later(DepartureMemory), at(12));
  BOOST_TEST(node.B.Departures.Facts.size() == 1U);
  applyList(node.B, {}, false, later(DepartureMemory + 1s), at(13));
  BOOST_TEST(node.B.Departures.Facts.empty());
}

// Guards against log lines that do not tell why a server gets no requests.
BOOST_AUTO_TEST_CASE(LogTellsKindAndSource) {
  test::Fixture f(1);
  onBackendDeparture(f.S, departure(Draining, 0, at(1)), f.Out, f.Time);
  onBackendDeparture(f.S, departure(Draining, 0, at(1)), f.Out, f.Time);
  const auto log = f.only<LogRecord>();
  const std::map<std::string, std::string> values(log.Values.begin(), log.Values.end());
  BOOST_TEST(values.at("kind") == "draining");
  BOOST_TEST(values.at("source") == "peer");
  BOOST_TEST(values.at("origin") == "other");
  BOOST_TEST(values.at("age_ms") == "20");
  BOOST_TEST(f.only<IncrementCounter>().Reason == std::string("draining"));
}

BOOST_AUTO_TEST_SUITE_END()
