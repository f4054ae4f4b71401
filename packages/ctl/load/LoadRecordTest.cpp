#include "ctl/load/LoadRecord.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::load;

namespace {

LoadRecord booking(const std::string &key, LoadOutcome outcome) {
  return {.Key = key, .Repeatable = false, .Counted = true, .Outcome = outcome};
}

} // namespace

BOOST_AUTO_TEST_SUITE(LoadRecords)

// Guards against a violated invariant that the report does not show.
BOOST_AUTO_TEST_CASE(ExecutionsDecideDoubledLostAndWrongNotRun) {
  const std::vector<LoadRecord> records = {booking("once", LoadOutcome::Ok),
                                           booking("twice", LoadOutcome::Ok),
                                           booking("never", LoadOutcome::Ok),
                                           booking("refused", LoadOutcome::Refused),
                                           booking("refusedRan", LoadOutcome::Refused),
                                           booking("unknownRan", LoadOutcome::Unknown),
                                           booking("unknownTwice", LoadOutcome::Unknown)};
  const ExecutionCounts executions = {
      {"once", 1}, {"twice", 2}, {"refusedRan", 1}, {"unknownRan", 1}, {"unknownTwice", 2}};
  const Summary s = summarise(records, &executions);
  BOOST_TEST(s.Requests == 7U);
  BOOST_TEST(s.Ok == 2U);
  BOOST_TEST(s.Lost == 1U);
  BOOST_TEST(s.Doubled == 2U);
  BOOST_TEST(s.Refused == 2U);
  BOOST_TEST(s.WrongNotRun == 1U);
  BOOST_TEST(s.Unknown == 2U);
  BOOST_TEST(violates(s));
  const Summary without = summarise(records, nullptr);
  BOOST_TEST(without.Ok == 3U);
  BOOST_TEST(!violates(without));
}

// Guards against an outcome that is allowed and reported as a violation, or the reverse.
BOOST_AUTO_TEST_CASE(FinalOutcomesFollowWhatTheCallerKnows) {
  const Refusal notRun{.Result = Outcome::NotRun, .Retry = true};
  const Refusal quarantined{.Result = Outcome::NotRun, .Retry = false};
  const Refusal unknown{.Result = Outcome::Unknown};
  const auto outcome = [](const CallerState &state) { return finalOutcome(state); };
  BOOST_TEST((outcome({.LastRefusal = notRun}) == LoadOutcome::Refused));
  BOOST_TEST((outcome({.Accepted = true, .LastRefusal = notRun}) == LoadOutcome::Lost));
  BOOST_TEST((outcome({.Accepted = true, .LastRefusal = quarantined}) == LoadOutcome::Refused));
  BOOST_TEST((outcome({.Accepted = true, .GotBytes = true, .LastRefusal = quarantined}) ==
              LoadOutcome::Lost));
  BOOST_TEST((outcome({.Accepted = true, .MayRun = true}) == LoadOutcome::Lost));
  BOOST_TEST(
      (outcome({.Repeatable = false, .Accepted = true, .MayRun = true}) == LoadOutcome::Unknown));
  BOOST_TEST((outcome({.Repeatable = false, .MayRun = true, .LastRefusal = unknown}) ==
              LoadOutcome::Unknown));
  // A later call that may run outweighs an earlier not_run.
  BOOST_TEST((outcome({.Repeatable = false, .MayRun = true, .LastRefusal = notRun}) ==
              LoadOutcome::Unknown));
  BOOST_TEST((outcome({}) == LoadOutcome::Refused));
}

BOOST_AUTO_TEST_SUITE_END()
