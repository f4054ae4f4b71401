#include "ctl/load/CallerStep.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace chervil;
using namespace chervil::load;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};

CallerState caller(bool repeatable) { return {.Repeatable = repeatable, .GiveUpAt = Start + 60s}; }

CallEnd refused(Outcome outcome, bool retry, int status = 503) {
  return {.Status = status, .Refused = Refusal{.Name = "x", .Result = outcome, .Retry = retry}};
}

const CallEnd Cut{.Failure = net::HttpFailure::Broken, .Status = 200, .GotBytes = true};

} // namespace

BOOST_AUTO_TEST_SUITE(CallerSteps)

// Guards against a tool that itself causes doubled work.
BOOST_AUTO_TEST_CASE(NonRepeatableCallIsSentAgainOnlyAfterNotRun) {
  rc::check([] {
    Random rng(*rc::gen::arbitrary<std::uint64_t>());
    CallerState state = caller(false);
    CallEnd end;
    end.Fetch = *rc::gen::arbitrary<bool>();
    end.Failure = static_cast<net::HttpFailure>(*rc::gen::inRange(0, 4));
    end.Status = *rc::gen::element(0, 200, 404, 409, 429, 500, 503);
    end.Moved = *rc::gen::arbitrary<bool>();
    if (*rc::gen::arbitrary<bool>())
      end.Refused = Refusal{.Result = static_cast<Outcome>(*rc::gen::inRange(0, 3)),
                            .Retry = *rc::gen::arbitrary<bool>()};
    const CallerAction action = nextAction(state, end, Start, rng);
    if (action.Kind == CallerActionKind::Send) {
      const bool notRun = end.Refused && end.Refused->Result == Outcome::NotRun;
      const bool notSent = !end.Refused && end.Failure == net::HttpFailure::NotSent;
      RC_ASSERT(notRun || notSent);
      RC_ASSERT(state.Attempt == (notRun ? 2U : 1U));
    }
  });
}

// Guards against a caller that starts again from the beginning, or gives up, after a cut.
BOOST_AUTO_TEST_CASE(CutStreamIsResumedByKey) {
  Random rng(1);
  CallerState state = caller(true);
  BOOST_TEST((nextAction(state, Cut, Start, rng).Kind == CallerActionKind::Fetch));
  const CallEnd moved{.Status = 200, .Moved = true};
  const CallerAction action = nextAction(state, moved, Start, rng);
  BOOST_TEST((action.Kind == CallerActionKind::Fetch));
  BOOST_TEST(action.Wait.count() == 0);
  CallEnd gone = refused(Outcome::Unknown, true, 404);
  gone.Fetch = true;
  BOOST_TEST((nextAction(state, gone, Start, rng).Kind == CallerActionKind::Send));
  CallEnd busy = refused(Outcome::Unknown, true, 503);
  busy.Fetch = true;
  BOOST_TEST((nextAction(state, busy, Start, rng).Kind == CallerActionKind::Fetch));
}

// Guards against calls before Retry-After is over, and against all callers returning at once.
BOOST_AUTO_TEST_CASE(RetryAfterIsHonouredWithJitter) {
  Random rng(1);
  std::set<Duration> waits;
  for (int i = 0; i < 20; ++i) {
    CallerState state = caller(true);
    CallEnd end = refused(Outcome::NotRun, true, 429);
    end.RetryAfter = 2s;
    const CallerAction action = nextAction(state, end, Start, rng);
    BOOST_TEST((action.Kind == CallerActionKind::Send));
    BOOST_TEST((action.Wait >= 2s));
    BOOST_TEST((action.Wait <= 2500ms));
    waits.insert(action.Wait);
  }
  BOOST_TEST(waits.size() > 10U);
}

// Guards against a caller that never ends, or that retries what the system calls final.
BOOST_AUTO_TEST_CASE(CallerGivesUp) {
  Random rng(1);
  CallerState state = caller(true);
  BOOST_TEST((nextAction(state, Cut, Start + 60s, rng).Kind == CallerActionKind::GiveUp));
  BOOST_TEST((nextAction(state, refused(Outcome::NotRun, false), Start, rng).Kind ==
              CallerActionKind::GiveUp));
  CallerState other = caller(false);
  BOOST_TEST((nextAction(other, refused(Outcome::Unknown, false), Start, rng).Kind ==
              CallerActionKind::GiveUp));
}

// Guards against refusals that are read with the wrong outcome.
BOOST_AUTO_TEST_CASE(RefusalsAreParsed) {
  const auto r = parseRefusal(
      R"({"error":{"code":200,"name":"limit_requests","outcome":"not_run","retry":true,"retry_after_s":2,"message":"m"}})");
  BOOST_REQUIRE(r.has_value());
  BOOST_TEST(r->Code == 200);
  BOOST_TEST(r->Name == "limit_requests");
  BOOST_TEST((r->Result == Outcome::NotRun));
  BOOST_TEST(r->Retry);
  BOOST_TEST((r->RetryAfter == 2s));
  BOOST_TEST((parseRefusal(R"({"error":{"code":1}})")->Result == Outcome::Unknown));
  BOOST_TEST(!parseRefusal(R"({"error":"text"})").has_value());
  BOOST_TEST(!parseRefusal("no").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
