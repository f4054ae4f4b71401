#include "testing/standin/Batch.h"
#include "testing/standin/PrefixCache.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::standin;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Batches)

// Guards against a batch that loses, repeats or reorders tokens, or keeps a finished request.
BOOST_AUTO_TEST_CASE(EachTokenIsProducedOnce) {
  Batch batch;
  batch.Slots = 2;
  const BatchOptions options;
  for (std::uint64_t id = 1; id <= 3; ++id)
    enqueue(batch, {.Id = id, .PrefillLeft = 600, .Next = 0, .End = 3});
  std::map<std::uint64_t, std::vector<std::uint32_t>> tokens;
  std::map<std::uint64_t, int> done;
  BOOST_TEST(admit(batch).size() == 2U);
  for (int i = 0; i < 50; ++i) {
    admit(batch);
    if (!planStep(batch, options))
      break;
    for (const BatchEvent &e : finishStep(batch)) {
      if (e.Kind == BatchEventKind::Token)
        tokens[e.Id].push_back(e.Token);
      if (e.Kind == BatchEventKind::Done)
        ++done[e.Id];
    }
  }
  for (std::uint64_t id = 1; id <= 3; ++id) {
    BOOST_TEST((tokens[id] == std::vector<std::uint32_t>{0, 1, 2}));
    BOOST_TEST(done[id] == 1);
  }
  BOOST_TEST(batch.Running.empty());
}

// Guards against step times that ignore the batch size, the prefill or the slow-down.
BOOST_AUTO_TEST_CASE(StepTimeGrowsWithTheBatch) {
  Batch batch;
  BatchOptions options{.PrefillRate = 1000, .StepBase = 10ms, .StepPerSequence = 1ms};
  enqueue(batch, {.Id = 1, .PrefillLeft = 100, .End = 5});
  admit(batch);
  BOOST_TEST(planStep(batch, options)->count() == 110000);
  finishStep(batch);
  enqueue(batch, {.Id = 2, .End = 5});
  admit(batch);
  BOOST_TEST(planStep(batch, options)->count() == 12000);
  options.SlowFactor = 5;
  BOOST_TEST(planStep(batch, options)->count() == 60000);
}

// Guards against urgent work that waits behind less urgent work in the queue.
BOOST_AUTO_TEST_CASE(UrgentWorkIsAdmittedFirst) {
  Batch batch;
  batch.Slots = 1;
  enqueue(batch, {.Id = 1, .Priority = 5});
  enqueue(batch, {.Id = 2, .Priority = 0});
  enqueue(batch, {.Id = 3, .Priority = 0});
  BOOST_TEST(admit(batch).at(0) == 2U);
  removeWork(batch, 2);
  BOOST_TEST(admit(batch).at(0) == 3U);
}

// Guards against hits without the whole prefix, growth over the limit and unreported evictions.
BOOST_AUTO_TEST_CASE(PrefixCacheIsBoundedAndReportsChanges) {
  PrefixCache cache;
  cache.MaxBlocks = 4;
  const auto a = prefixChain("m", std::string(3 * CacheBlockBytes + 10, 'a'));
  BOOST_REQUIRE(a.size() == 3U);
  BOOST_TEST(touchPrefix(cache, a) == 0U);
  storePrefix(cache, a);
  BOOST_TEST(touchPrefix(cache, a) == 192U);
  BOOST_TEST(touchPrefix(cache, prefixChain("m2", std::string(800, 'a'))) == 0U);
  const auto b = prefixChain("m", std::string(2 * CacheBlockBytes, 'b'));
  storePrefix(cache, b);
  BOOST_TEST(cache.Blocks.size() == 4U);
  // The end of the older chain went, not its beginning.
  BOOST_TEST(touchPrefix(cache, a) == 128U);
  BOOST_TEST(touchPrefix(cache, b) == 128U);
  BOOST_TEST(cache.Changes.size() == 6U);
  BOOST_TEST(!cache.Changes.back().Added);
}

BOOST_AUTO_TEST_SUITE_END()
