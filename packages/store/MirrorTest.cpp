#include "store/Mirror.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace chervil;
using namespace chervil::store;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  Mirror M = makeMirror({.Prefix = "p/"});
  Now Time{TimePoint(1000s), WallTime(0s)};
  Random Rng{1};

  MirrorCall next() {
    Time.Steady += 1s;
    const auto call = nextCall(M, Time);
    BOOST_REQUIRE(call.has_value());
    return *call;
  }
};

Item item(const std::string &key, std::uint64_t revision) {
  return {.Key = key, .Value = "v" + std::to_string(revision), .Revision = revision};
}

} // namespace

BOOST_AUTO_TEST_SUITE(StoreMirror)

// Guards against changes that are missed between reading the pages and watching.
BOOST_AUTO_TEST_CASE(WatchStartsAtTheFirstPage) {
  Fixture f;
  BOOST_TEST(f.next().AfterKey.empty());
  BOOST_TEST(!onPage(f.M, {{item("p/a", 3)}, true, 10}, f.Time));
  BOOST_TEST(f.next().AfterKey == "p/a");
  BOOST_TEST(onPage(f.M, {{item("p/b", 12)}, false, 15}, f.Time));
  const MirrorCall watch = f.next();
  BOOST_TEST((watch.What == MirrorCall::Kind::Watch));
  BOOST_TEST(watch.AfterRevision == 10U);
  // A change that the second page already showed does not go back.
  BOOST_TEST(onChanges(f.M, {{{item("p/b", 11), false}}, 20}, f.Time));
  BOOST_TEST(f.M.Items.at("p/b").Revision == 12U);
}

// Guards against items that were removed while the history was lost.
BOOST_AUTO_TEST_CASE(LostHistoryReadsEverythingAgain) {
  Fixture f;
  f.next();
  onPage(f.M, {{item("p/a", 3), item("p/b", 4)}, false, 10}, f.Time);
  f.next();
  onHistoryLost(f.M, f.Time);
  BOOST_TEST((f.next().What == MirrorCall::Kind::ReadPage));
  BOOST_TEST(f.M.Items.size() == 2U);
  onPage(f.M, {{item("p/b", 4)}, false, 30}, f.Time);
  BOOST_TEST(f.M.Items.size() == 1U);
}

// Guards against an empty copy after a failure, and against calls without a pause.
BOOST_AUTO_TEST_CASE(FailuresKeepTheItemsAndPause) {
  Fixture f;
  f.next();
  onPage(f.M, {{item("p/a", 3)}, false, 10}, f.Time);
  f.next();
  onFailed(f.M, f.Time, f.Rng);
  BOOST_TEST(!nextCall(f.M, f.Time).has_value());
  BOOST_TEST(f.M.Items.size() == 1U);
  BOOST_TEST((f.next().What == MirrorCall::Kind::Watch));
  const TimePoint before = f.M.ContactSince;
  onChanges(f.M, {{}, 11}, f.Time);
  BOOST_TEST((f.M.ContactSince > before));
}

// Guards against a copy that differs from the store after any order of pages, changes, failures and
// lost histories.
BOOST_AUTO_TEST_CASE(CopyFollowsTheStore) {
  BOOST_TEST(rc::check([] {
    Fixture f;
    std::map<std::string, Item> truth;
    std::vector<Change> history;
    std::uint64_t revision = 1;
    const auto change = [&] {
      const std::string key = "p/" + std::to_string(*rc::gen::inRange(0, 5));
      ++revision;
      if (*rc::gen::inRange(0, 3) == 0 && truth.erase(key) > 0) {
        history.push_back({{.Key = key, .Value = {}, .Revision = revision}, true});
      } else {
        truth[key] = item(key, revision);
        history.push_back({truth[key], false});
      }
    };
    const auto serve = [&](bool mayFail) {
      const auto call = nextCall(f.M, f.Time);
      f.Time.Steady += 1s;
      if (!call)
        return;
      const int luck = mayFail ? *rc::gen::inRange(0, 8) : 7;
      if (luck == 0) {
        onFailed(f.M, f.Time, f.Rng);
      } else if (call->What == MirrorCall::Kind::Watch && luck == 1) {
        onHistoryLost(f.M, f.Time);
      } else if (call->What == MirrorCall::Kind::Watch) {
        Changes changes{{}, revision};
        for (const Change &it : history)
          if (it.Item.Revision > call->AfterRevision)
            changes.Events.push_back(it);
        onChanges(f.M, changes, f.Time);
      } else {
        Page page{{}, false, revision};
        for (const auto &[key, it] : truth) {
          if (key <= call->AfterKey)
            continue;
          if (page.Items.size() == 2) {
            page.HasMore = true;
            break;
          }
          page.Items.push_back(it);
        }
        onPage(f.M, page, f.Time);
      }
    };
    for (int i = *rc::gen::inRange(1, 60); i > 0; --i) {
      if (*rc::gen::inRange(0, 2) == 0)
        change();
      else
        serve(true);
    }
    for (int i = 0; i < 8; ++i)
      serve(false);
    RC_ASSERT(f.M.Items.size() == truth.size());
    for (const auto &[key, it] : truth)
      RC_ASSERT(f.M.Items.at(key).Revision == it.Revision);
  }));
}

// Guards against a node that relies on its own reading after one was not answered: a departure is
// to be asked of peers at once.
BOOST_AUTO_TEST_CASE(UnansweredReadingEndsTheContact) {
  Fixture f;
  BOOST_TEST(!inContact(f.M, f.Time));
  f.next();
  onPage(f.M, {{item("p/a", 3)}, false, 10}, f.Time);
  BOOST_TEST(inContact(f.M, f.Time));
  f.next();
  onFailed(f.M, f.Time, f.Rng);
  BOOST_TEST(!inContact(f.M, f.Time));
  f.next();
  onChanges(f.M, {{}, 10}, f.Time);
  BOOST_TEST(inContact(f.M, f.Time));
  f.Time.Steady += 3s;
  BOOST_TEST(!inContact(f.M, f.Time));
}

// Guards against a price of reading that grows with the square of a fleet that tells itself news,
// and against a node that learns of a change too late without them.
BOOST_AUTO_TEST_CASE(LargeFleetsReadLessOftenPerNode) {
  BOOST_TEST((pollPeriodOf(1) == 900ms));
  BOOST_TEST((pollPeriodOf(9) == 900ms));
  BOOST_TEST((pollPeriodOf(24) == 1200ms));
  BOOST_TEST((pollPeriodOf(66) < 2s));
  BOOST_TEST((pollPeriodOf(66) == pollPeriodOf(320)));
}

BOOST_AUTO_TEST_SUITE_END()
