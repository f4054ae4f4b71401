#include "routing/Routing.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <set>

using namespace chervil;
using namespace chervil::routing;
using namespace std::chrono_literals;

namespace {

Now at(Duration t) { return {TimePoint(t + 100s), WallTime(1764800000000ms)}; }

std::vector<Backend> engines(int n, std::uint32_t slots = 16) {
  std::vector<Backend> list;
  for (int i = 0; i < n; ++i) {
    Backend b;
    b.Name = "e" + std::to_string(i);
    b.Targets = {"redactor"};
    b.Slots = slots;
    list.push_back(b);
  }
  return list;
}

State fleetOf(int n) {
  Options o;
  o.Node = "n1";
  State s = makeState(o);
  updateBackends(s, engines(n), at(0s));
  return s;
}

WorkRequest work(std::uint32_t tokens = 50) {
  WorkRequest w;
  w.Customer = "c";
  w.Kind = "status";
  w.Target = "redactor";
  w.ExpectedTokens = tokens;
  return w;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Choosing)

// Guards against a permanent refusal (UnknownModel) for a model whose VMs were all reclaimed, and
// against a temporary one (NoBackend) for a model that does not exist.
BOOST_AUTO_TEST_CASE(UnknownTargetAndEmptyTargetDiffer) {
  Random rng(1);
  State s = fleetOf(2);
  WorkRequest w = work();
  w.Target = "other";
  BOOST_TEST((choose(s, w, at(0s), rng).error() == ResultCode::UnknownModel));
  w.TargetKind = message::WorkKind::Service;
  BOOST_TEST((choose(s, w, at(0s), rng).error() == ResultCode::UnknownService));
  updateBackends(s, {}, at(1s));
  BOOST_TEST((choose(s, work(), at(1s), rng).error() == ResultCode::NoBackend));
}

// Guards against new work on an engine that is about to be shut down, also if the VM list, which
// lags behind the notice, still shows it as live.
BOOST_AUTO_TEST_CASE(LeavingBackendGetsNoNewWork) {
  Random rng(2);
  State s = fleetOf(3);
  backendLeaving(s, "e1", TimePoint(105s), at(0s));
  updateBackends(s, engines(3), at(1s));
  for (int i = 0; i < 1000; ++i)
    BOOST_TEST(choose(s, work(), at(1s), rng)->Backend != "e1");
}

// Guards against sending a request again to an engine on which it has already failed.
BOOST_AUTO_TEST_CASE(AvoidedBackendsAreNotChosen) {
  Random rng(3);
  State s = fleetOf(3);
  WorkRequest w = work();
  w.Avoid = {"e0", "e2"};
  for (int i = 0; i < 100; ++i)
    BOOST_TEST(choose(s, w, at(0s), rng)->Backend == "e1");
  w.Avoid = {"e0", "e1", "e2"};
  BOOST_TEST((choose(s, w, at(0s), rng).error() == ResultCode::NoBackend));
}

// Guards against a request that crashes its back end while other requests run there. The back end
// first has to become empty, and then takes no other work.
BOOST_AUTO_TEST_CASE(SuspectsRunAlone) {
  Random rng(4);
  State s = fleetOf(2);
  requestStarted(s, 1, work(), "e0", at(0s));
  requestStarted(s, 2, work(), "e1", at(0s));
  WorkRequest w = work();
  w.Suspect = Suspicion{7, at(-1s).Steady, {}};
  const auto waits = choose(s, w, at(0s), rng);
  BOOST_REQUIRE(waits.has_value());
  BOOST_TEST((waits->Wait > Duration{0}));
  for (int i = 0; i < 50; ++i)
    BOOST_TEST(choose(s, work(), at(1ms), rng)->Backend != waits->Backend);
  requestFinished(s, waits->Backend == "e0" ? 1 : 2, at(2ms));
  const auto runs = choose(s, w, at(2ms), rng);
  BOOST_TEST((runs->Wait == Duration{0}));
  BOOST_TEST(runs->Backend == waits->Backend);
  requestStarted(s, 3, w, runs->Backend, at(2ms));
  for (int i = 0; i < 50; ++i)
    BOOST_TEST(choose(s, work(), at(3ms), rng)->Backend != runs->Backend);
}

// Guards against a prefix map that is still trusted after cache events were lost.
BOOST_AUTO_TEST_CASE(AGapInCacheEventsDropsTheMapOfTheBackend) {
  State s = fleetOf(2);
  BOOST_TEST(applyCacheEvent(s, {"e0", 1, false, {10, 11}, {}}, at(0s)));
  const std::vector<std::uint64_t> chain = {10, 11, 12};
  BOOST_TEST(cachedDepth(s.Prefixes, chain, s.Index.at("e0")) == 2U);
  BOOST_TEST(!applyCacheEvent(s, {"e0", 3, false, {12}, {}}, at(0s)));
  BOOST_TEST(cachedDepth(s.Prefixes, chain, s.Index.at("e0")) == 0U);
}

// Guards against counting requests of this node twice, as its own and as those of others in a load
// report.
BOOST_AUTO_TEST_CASE(OwnWorkIsSubtractedFromLateReports) {
  State s = fleetOf(1);
  requestStarted(s, 1, work(), "e0", at(0s));
  requestStarted(s, 2, work(), "e0", at(2s));
  // Taken at 1 s, before request 2: one request of this node and three of others.
  applyLoadReport(s, {"e0", 2s, 4, 0}, at(3s));
  BOOST_TEST(s.Observations[0].OthersRunning == 3U);
}

// Guards against predictions that stay at the first estimate while a long request continues.
BOOST_AUTO_TEST_CASE(RemainingLengthIsCorrectedWhileRunning) {
  LengthTable table;
  for (int i = 0; i < 90; ++i)
    observeLength(table, 1, 20);
  for (int i = 0; i < 10; ++i)
    observeLength(table, 1, 4000);
  BOOST_TEST(expectedRemaining(table, 1, 0, 200) < 800);
  BOOST_TEST(expectedRemaining(table, 1, 100, 200) > 3000);
}

// Guards against a second run of non-repeatable work, and against unlimited hedging.
BOOST_AUTO_TEST_CASE(HedgingIsForRepeatableWorkWithinTheBudget) {
  Random rng(5);
  State s = fleetOf(4);
  WorkRequest once = work(100);
  once.Repeatable = false;
  requestStarted(s, 1, once, "e0", at(0s));
  for (RequestId id = 2; id < 12; ++id)
    requestStarted(s, id, work(100), "e0", at(0s));
  s.Observations[0].SlowFactor = 5;
  s.Observations[0].SlowFactorTime = at(0s).Steady;
  BOOST_TEST(!hedge(s, 2, at(0s), rng).has_value());
  s.RecentTokens = 12000;
  BOOST_TEST(!hedge(s, 1, at(0s), rng).has_value());
  int hedges = 0;
  for (RequestId id = 2; id < 12; ++id)
    hedges += hedge(s, id, at(0s), rng).has_value() ? 1 : 0;
  // 2% of 12,000 tokens pay for two runs of 100 tokens.
  BOOST_TEST(hedges == 2);
}

// Guards against nodes that all use the same engines of a large fleet, or that change their subset
// with each new list.
BOOST_AUTO_TEST_CASE(SubsetIsBoundedStableAndDiffersByNode) {
  std::set<std::uint32_t> all;
  for (int node = 0; node < 40; ++node) {
    Options o;
    o.Node = "n" + std::to_string(node);
    o.SubsetSize = 50;
    State s = makeState(o);
    auto list = engines(400);
    updateBackends(s, list, at(0s));
    const auto before = s.Models.at("redactor").Members;
    BOOST_TEST(before.size() == 50U);
    all.insert(before.begin(), before.end());
    list.erase(list.begin() + 7);
    updateBackends(s, list, at(1s));
    std::size_t kept = 0;
    for (const std::uint32_t i : s.Models.at("redactor").Members)
      kept += std::ranges::find(before, i) != before.end() ? 1U : 0U;
    BOOST_TEST(kept >= 49U);
  }
  BOOST_TEST(all.size() > 380U);
}

// Guards against showing operators a different decision than the one that is taken.
BOOST_AUTO_TEST_CASE(ExplainAgreesWithChoose) {
  State s = fleetOf(6);
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    Random a(seed);
    Random b(seed);
    const Explanation e = explain(s, work(), at(0s), a);
    const ChoiceResult c = choose(s, work(), at(0s), b);
    BOOST_REQUIRE(e.Result.has_value());
    BOOST_TEST(e.Result->Backend == c->Backend);
    BOOST_TEST(e.Candidates.size() >= 2U);
    requestStarted(s, seed, work(), c->Backend, at(0s));
  }
}

// Guards, for any order of events, against choosing an engine that is leaving or dead, against
// ejecting more than a third of the engines, and against load figures that do not return to zero.
BOOST_AUTO_TEST_CASE(AnyOrderOfEvents) {
  const bool ok = rc::check("events in any order", [] {
    const int n = *rc::gen::inRange(1, 13);
    Random rng(*rc::gen::arbitrary<std::uint64_t>());
    State s = fleetOf(n);
    std::set<std::string> gone;
    std::vector<RequestId> open;
    RequestId next = 1;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    Duration t{0};
    for (const int step : steps) {
      t += std::chrono::milliseconds(rng() % 300);
      const std::string name = "e" + std::to_string(rng() % static_cast<std::uint64_t>(n));
      if (step < 40) {
        WorkRequest w = work(static_cast<std::uint32_t>(1 + rng() % 2000));
        if (rng() % 10 == 0)
          w.Suspect = Suspicion{rng() % 5, at(t - std::chrono::seconds(rng() % 3)).Steady, {}};
        if (const auto c = choose(s, w, at(t), rng)) {
          RC_ASSERT(!gone.contains(c->Backend));
          if (c->Wait == Duration{0}) {
            requestStarted(s, next, w, c->Backend, at(t));
            open.push_back(next++);
          }
        }
      } else if (step < 60 && !open.empty()) {
        requestTokens(s, open[rng() % open.size()], 1 + rng() % 5, at(t));
      } else if (step < 75 && !open.empty()) {
        const std::size_t k = rng() % open.size();
        if (rng() % 2 == 0)
          requestFinished(s, open[k], at(t));
        else
          requestFailed(s, open[k], static_cast<Failure>(rng() % 5), at(t));
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(k));
      } else if (step < 80) {
        applyBackendStatus(s, {name, rng() % 1000, 0.5 + static_cast<double>(rng() % 8), false},
                           at(t));
      } else if (step < 85) {
        connectionFailed(s, name, at(t));
      } else if (step < 88) {
        backendLeaving(s, name, TimePoint(t + 110s), at(t));
        gone.insert(name);
      } else if (step < 90) {
        auto list = engines(n);
        std::erase_if(list, [&](const Backend &b) { return gone.contains(b.Name); });
        updateBackends(s, list, at(t));
      } else {
        applyLoadReport(s, {name, 200ms, static_cast<std::uint32_t>(rng() % 20), 0}, at(t));
        tick(s, at(t));
      }
      std::size_t ejected = 0;
      for (const BackendObservations &o : s.Observations)
        ejected += o.Ejected && o.InUse ? 1U : 0U;
      RC_ASSERT(ejected * 3 <= static_cast<std::size_t>(n));
    }
    for (const RequestId id : open)
      requestFailed(s, id, Failure::Cancelled, at(t));
    for (const BackendObservations &o : s.Observations) {
      RC_ASSERT(o.OwnRunning == 0U);
      RC_ASSERT(o.OwnRemaining < 1e-6);
      RC_ASSERT(o.OwnPrefill < 1e-6);
      RC_ASSERT(!o.SuspectRunning);
    }
  });
  BOOST_TEST(ok);
}

BOOST_AUTO_TEST_SUITE_END()
