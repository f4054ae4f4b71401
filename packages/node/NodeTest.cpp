#include "testing/NodeDriver.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace chervil;
using namespace chervil::testing;
using namespace std::chrono_literals;

namespace {

DriverOptions small() {
  DriverOptions options;
  options.Parts.Node.ShardCount = 8;
  return options;
}

/// Nothing may be lost, doubled or wrong, whatever happened.
void checkSafe(const Report &report) {
  BOOST_TEST(report.Wrong == 0U);
  BOOST_TEST(report.Doubled == 0U);
  BOOST_TEST(report.WrongNotRun == 0U);
  BOOST_TEST(report.LateToLeaving == 0U);
  for (const std::string &it : report.Violations)
    BOOST_ERROR(it);
  for (const std::string &it : report.Details)
    BOOST_TEST_MESSAGE(it);
}

void callMany(NodeDriver &driver, const std::string &prefix, std::size_t n, bool repeatable,
              unsigned tokens = 20) {
  for (std::size_t i = 0; i < n; ++i)
    driver.call({prefix + std::to_string(i), repeatable, tokens, i});
}

} // namespace

BOOST_AUTO_TEST_SUITE(WholeNode)

// Guards against a fleet that cannot start and serve both kinds of work without faults.
BOOST_AUTO_TEST_CASE(ServesModelAndServiceWork) {
  NodeDriver driver(small(), 1);
  driver.runFor(15s);
  callMany(driver, "m", 20, true);
  callMany(driver, "s", 20, false);
  driver.runFor(5s);
  const Report report = driver.report();
  BOOST_TEST(report.Whole == 40U);
  checkSafe(report);
}

// Guards against work lost with the gateway that runs it, and against a second execution.
BOOST_AUTO_TEST_CASE(SurvivesACrashedNode) {
  NodeDriver driver(small(), 2);
  driver.runFor(15s);
  callMany(driver, "m", 20, true, 200);
  callMany(driver, "s", 20, false);
  driver.runFor(500ms);
  driver.crash(1);
  driver.runFor(40s);
  const Report report = driver.report();
  BOOST_TEST(report.Unanswered == 0U);
  BOOST_TEST(report.Whole + report.Unknown == 40U);
  checkSafe(report);
}

// Guards against accepted work that is lost in an announced reclaim of a data centre.
BOOST_AUTO_TEST_CASE(AnnouncedReclaimOfADataCentreLosesNothing) {
  DriverOptions options = small();
  options.Nodes = 6;
  NodeDriver driver(options, 3);
  driver.runFor(15s);
  callMany(driver, "m", 30, true, 800);
  callMany(driver, "s", 30, false);
  driver.runFor(500ms);
  driver.reclaim(1, 5s);
  driver.reclaim(4, 5s);
  driver.runFor(40s);
  const Report report = driver.report();
  BOOST_TEST(report.Whole == 60U);
  BOOST_TEST(report.Unknown == 0U);
  checkSafe(report);
}

// Guards against streams that die with a reclaimed back end, and new work sent to it.
BOOST_AUTO_TEST_CASE(BackendReclaimMovesItsStreams) {
  NodeDriver driver(small(), 4);
  driver.runFor(15s);
  callMany(driver, "m", 20, true, 600);
  driver.runFor(500ms);
  driver.reclaimBackend(0, 5s);
  driver.runFor(1s);
  callMany(driver, "later", 20, true, 600);
  driver.runFor(30s);
  const Report report = driver.report();
  BOOST_TEST(report.Whole == 40U);
  checkSafe(report);
}

// Guards against a paused owner that grants after it was replaced.
BOOST_AUTO_TEST_CASE(PausedNodeDoesNotDouble) {
  NodeDriver driver(small(), 5);
  driver.runFor(15s);
  callMany(driver, "s", 40, false);
  driver.pause(0, 12s);
  driver.runFor(3s);
  callMany(driver, "t", 40, false);
  driver.runFor(40s);
  const Report report = driver.report();
  BOOST_TEST(report.Unanswered == 0U);
  checkSafe(report);
}

// Guards against a request that is accepted between the end of the drain and the end of the
// process.
BOOST_AUTO_TEST_CASE(DrainedNodeAcceptsNothing) {
  NodeDriver driver(small(), 7);
  driver.runFor(15s);
  node::State state = driver.state(0);
  state.Leaving = node::LeavingState{.StoppedSent = true};
  node::CallerRequest request;
  request.Handle = 1'000'000;
  request.Token = "secret-token-of-acme";
  request.Key = "late";
  request.Spec.Kind = message::WorkKind::Model;
  request.Spec.Target = "model";
  request.Spec.Body = "20";
  Random rng(1);
  const Now now{TimePoint(std::chrono::seconds(1015)), WallTime(1'764'000'015'000ms)};
  std::size_t refused = 0;
  for (const node::Effect &it : node::handle(state, request, now, rng))
    if (const auto *refuse = std::get_if<node::Refuse>(&it)) {
      ++refused;
      BOOST_TEST((refuse->Code == ResultCode::NodeLeaving));
      BOOST_TEST((refuse->Result == Outcome::NotRun));
    }
  BOOST_TEST(refused == 1U);
}

// Guards against failures of callers while the key-value service is down.
BOOST_AUTO_TEST_CASE(OutageOfTheKeyValueServiceIsNotSeen) {
  NodeDriver driver(small(), 6);
  driver.runFor(15s);
  driver.outage(60s);
  driver.runFor(10s);
  callMany(driver, "m", 20, true);
  callMany(driver, "s", 20, false);
  driver.runFor(20s);
  const Report report = driver.report();
  BOOST_TEST(report.Whole == 40U);
  checkSafe(report);
}

namespace {

struct Fault {
  unsigned Kind;
  unsigned Target;
  unsigned At;
  unsigned Length;
};

std::ostream &operator<<(std::ostream &out, const Fault &it) {
  constexpr std::array names = {"crash",     "restart",        "pause",
                                "reclaim",   "crash back end", "restore back end",
                                "kv outage", "lose kv answer", "isolate"};
  return out << names.at(it.Kind) << " " << it.Target << " at " << it.At << " ms for " << it.Length
             << " ms";
}

void inject(NodeDriver &driver, const Fault &fault, std::size_t nodes, std::size_t backends) {
  const std::size_t node = fault.Target % nodes;
  const std::chrono::milliseconds length(fault.Length);
  switch (fault.Kind) {
  case 0:
    driver.crash(node);
    return;
  case 1:
    driver.restart(node);
    return;
  case 2:
    driver.pause(node, length);
    return;
  case 3:
    driver.reclaim(node, 5s);
    return;
  case 4:
    driver.crashBackend(fault.Target % backends);
    return;
  case 5:
    driver.restoreBackend(fault.Target % backends);
    return;
  case 6:
    driver.outage(length);
    return;
  case 7:
    driver.loseNextAnswer();
    return;
  default:
    driver.isolate(node, length);
  }
}

} // namespace

// Guards the invariants against arbitrary orders of faults. A failing case is shrunk and prints its
// seed; RC_PARAMS="seed=..." repeats it.
BOOST_AUTO_TEST_CASE(InvariantsHoldUnderArbitraryFaults) {
  const bool ok = rc::check("no key doubled, no answer wrong, no false not_run", [] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
    const auto loss = *rc::gen::element(0U, 0U, 2U, 10U);
    const auto faults = *rc::gen::container<std::vector<Fault>>(
        rc::gen::construct<Fault>(rc::gen::inRange(0U, 9U), rc::gen::inRange(0U, 5U),
                                  rc::gen::inRange(0U, 20'000U), rc::gen::inRange(100U, 15'000U)));
    DriverOptions options = small();
    options.LossPercent = loss;
    NodeDriver driver(options, seed);
    driver.runFor(12s);
    std::vector<Fault> order = faults;
    std::ranges::sort(order, {}, &Fault::At);
    std::size_t next = 0;
    for (unsigned ms = 0; ms < 25'000; ms += 500) {
      if (ms % 1000 == 0) {
        driver.call({"s" + std::to_string(ms), false, 1, ms / 1000});
        driver.call({"m" + std::to_string(ms), true, 100, ms / 1000 + 1});
      }
      for (; next < order.size() && order[next].At < ms; ++next)
        inject(driver, order[next], options.Nodes, options.Backends);
      driver.runFor(500ms);
    }
    driver.runFor(20s);
    const Report report = driver.report();
    for (const std::string &it : report.Violations)
      RC_LOG() << it << "\n";
    for (const std::string &it : report.Details)
      RC_LOG() << it << "\n";
    RC_ASSERT(report.Violations.empty());
    RC_ASSERT(report.Wrong == 0U);
    RC_ASSERT(report.Doubled == 0U);
    RC_ASSERT(report.WrongNotRun == 0U);
    RC_ASSERT(report.LateToLeaving == 0U);
  });
  BOOST_TEST(ok);
}

BOOST_AUTO_TEST_SUITE_END()
