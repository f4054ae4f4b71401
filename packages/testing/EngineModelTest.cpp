#include "testing/EngineModel.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::testing;
using namespace std::chrono_literals;

namespace {

const TimePoint Start(100s);

EngineWork work(std::uint64_t id, std::uint32_t output, std::uint8_t priority = 0) {
  EngineWork w;
  w.Id = id;
  w.PromptTokens = 128;
  w.PrefixHashes = {1, 2};
  w.OutputTokens = output;
  w.Priority = priority;
  return w;
}

TimePoint finishOf(const EngineOutput &out, std::uint64_t id) {
  for (const EngineEvent &it : out.Events)
    if (it.Id == id && it.What == EngineEvent::Kind::Finished)
      return it.At;
  return TimePoint::max();
}

} // namespace

BOOST_AUTO_TEST_SUITE(EngineModelling)

// Guards against a model that loses or invents tokens.
BOOST_AUTO_TEST_CASE(EveryTokenIsReportedOnce) {
  Random rng(1);
  EngineModel e = makeEngine({}, Start);
  for (std::uint64_t id = 0; id < 40; ++id)
    submit(e, work(id, 10), Start);
  EngineOutput out;
  advance(e, Start + 60s, rng, out);
  std::size_t tokens = 0;
  for (const EngineEvent &it : out.Events)
    tokens += it.What != EngineEvent::Kind::Finished ? 1 : 0;
  BOOST_TEST(tokens == 400U);
  for (std::uint64_t id = 0; id < 40; ++id)
    BOOST_TEST((finishOf(out, id) < Start + 60s));
}

// Guards against a model in which neither load, slowness nor priority changes anything.
BOOST_AUTO_TEST_CASE(BatchSlownessAndPriorityTakeEffect) {
  Random rng(2);
  const auto time = [&](int others, double slow) {
    EngineModel e = makeEngine({}, Start);
    e.SlowFactor = slow;
    for (int i = 0; i < others; ++i)
      submit(e, work(100 + static_cast<std::uint64_t>(i), 1000, 1), Start);
    submit(e, work(1, 100, 0), Start);
    EngineOutput out;
    advance(e, Start + 100s, rng, out);
    return finishOf(out, 1) - Start;
  };
  BOOST_TEST((time(10, 1) > time(0, 1)));
  BOOST_TEST((time(0, 5) > 4 * time(0, 1)));
  EngineSpec one;
  one.Slots = 1;
  EngineModel e = makeEngine(one, Start);
  submit(e, work(1, 50, 1), Start);
  submit(e, work(2, 50, 1), Start);
  submit(e, work(3, 50, 0), Start);
  EngineOutput out;
  advance(e, Start + 60s, rng, out);
  BOOST_TEST((finishOf(out, 3) < finishOf(out, 2)));
}

// Guards against a cache without limit, and against reports that arrive before their lag.
BOOST_AUTO_TEST_CASE(CacheIsBoundedAndNewsIsLate) {
  Random rng(3);
  EngineSpec spec;
  spec.CacheBlocks = 8;
  EngineModel e = makeEngine(spec, Start);
  for (std::uint64_t id = 0; id < 20; ++id) {
    EngineWork w = work(id, 5);
    w.PrefixHashes = {1, 10 + id};
    submit(e, w, Start);
  }
  EngineOutput out;
  advance(e, Start + 900ms, rng, out);
  BOOST_TEST(out.Reports.empty());
  advance(e, Start + 30s, rng, out);
  BOOST_TEST(!out.Reports.empty());
  BOOST_TEST(!out.CacheEvents.empty());
  BOOST_TEST(e.Cache.size() <= 8U);
  BOOST_TEST(e.Cache.contains(1));
}

// Guards against an export that loses the tokens generated so far or computes them again.
BOOST_AUTO_TEST_CASE(ExportedStreamContinues) {
  Random rng(4);
  EngineModel a = makeEngine({}, Start);
  EngineModel b = makeEngine({}, Start);
  submit(a, work(1, 100), Start);
  EngineOutput out;
  advance(a, Start + 1s, rng, out);
  const auto moved = exportKv(a, 1);
  BOOST_REQUIRE(moved.has_value());
  BOOST_TEST(moved->Generated > 10U);
  submit(b, *moved, Start + 1s);
  advance(b, Start + 10s, rng, out);
  BOOST_TEST(b.PromptTokensRead == 0U);
  BOOST_TEST(a.TokensGenerated + b.TokensGenerated == 100U);
}

BOOST_AUTO_TEST_SUITE_END()
