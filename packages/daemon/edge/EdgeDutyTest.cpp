// A whole node that holds the duty, with stand-ins of the store and of the platform's duty calls.
#include "daemon/edge/EdgeFixture.h"

#include "duty/Lease.h"

using namespace chervil;
using namespace chervil::daemon;
using namespace chervil::daemon::test;

namespace {

/// Takes the calls of the holder and leaves them without an answer until answerAll().
struct DutyStandIn {
  http::ServerPtr Server;
  std::vector<http::Request> Calls;
  std::vector<std::uint64_t> Unanswered;

  void answerAll() {
    for (const std::uint64_t id : Unanswered)
      http::respond(*Server, id, {.Status = 200, .Body = "{}"});
    Unanswered.clear();
  }
};

struct DutyFixture : Fixture {
  DutyStandIn Duty;

  DutyFixture() {
    Duty.Server = std::move(*http::startServer(Node->Loop, Node->Timers, {.Address = "127.0.0.1:0"},
                                               {.OnRequest = [this](http::Request &&r) {
                                                 Duty.Unanswered.push_back(r.Id);
                                                 Duty.Calls.push_back(std::move(r));
                                               }}));
    Node->Settings.Edge.DutyAddress = "127.0.0.1:" + std::to_string(http::port(*Duty.Server));
  }
  ~DutyFixture() { Duty.Server.reset(); }

  bool getsCall(const char *path) {
    return runUntil(
        [&] {
          return std::ranges::any_of(
              Duty.Calls, [&](const http::Request &it) { return it.Head.Target == path; });
        },
        10s);
  }
};

/// A service for which the holder orders servers.
Json scaledConfiguration(std::uint64_t version) {
  Json out = configurationDocument(version);
  out["services"][1]["scaling"] = {
      {"min", 1}, {"max", 4}, {"boot-s", 4.0}, {"spot-price", 0.22}, {"zone-prices", {{"z", 1.0}}}};
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EdgeNode)

// Guards against an order or a usage report of a holder that stops which reaches the platform after
// those of the next holder: the lease was given back while the call was unanswered.
BOOST_AUTO_TEST_CASE(HolderThatStopsKeepsTheLeaseUntilItsCallsAreAnswered) {
  for (const char *path : {"/scale", "/usage"}) {
    DutyFixture f;
    f.Node->Usage.Window = 1s;
    if (path == std::string("/scale"))
      f.Store.put("op/config", scaledConfiguration(2));
    BOOST_REQUIRE_MESSAGE(f.getsCall(path), path);
    leave(*f.Node);
    f.runUntil([] { return false; }, 300ms);
    BOOST_TEST(f.Store.RevokedLeases == 0U, path);
    f.Duty.answerAll();
    BOOST_TEST(f.runUntil([&] { return f.Store.RevokedLeases == 1; }, 200ms), path);
  }
}

// Guards against a node that takes the duty back within the lease time although another one has
// held it: a started process cannot know when an earlier one of its node acted last.
BOOST_AUTO_TEST_CASE(StartedNodeWaitsIfAnotherHeldTheDutyLast) {
  DutyFixture f;
  const char *last = "chervil/duty/last";
  const auto isHeld = [&] { return f.Store.Items.contains("chervil/duty/holder"); };
  f.Store.Items[last] = {"other 1", ++f.Store.Revision};
  const TimePoint started = f.Node->Lease.QuietSince;
  BOOST_TEST(f.runUntil(isHeld, 6000ms));
  BOOST_TEST((net::readNow().Steady - started >= f.Node->Lease.Options.Ttl));
  BOOST_TEST(f.Store.Items.at(last).first == "n1 1");
  // A free duty that this node held last is claimed at once.
  f.Store.endLease(f.Store.CreatedLeases);
  BOOST_TEST(f.runUntil([&] { return !isHeld(); }, 1000ms));
  BOOST_TEST(f.runUntil([&] { return f.Store.CreatedLeases == 2; }, 2500ms));
}

// Guards against a second holder after the store has come back from an older copy: the holder of
// before acts until it learns of the return, and the copy may lack its key.
BOOST_AUTO_TEST_CASE(FreeDutyIsNotClaimedSoonAfterARestore) {
  DutyFixture f;
  const char *holder = "chervil/duty/holder";
  f.Store.Items[holder] = {"other 1 127.0.0.1:1", ++f.Store.Revision};
  f.Store.Items["chervil/duty/last"] = {"n1 1", ++f.Store.Revision};
  BOOST_TEST(f.runUntil([&] { return f.Node->OwnItems.Items.contains(holder); }, 2000ms));
  auto copy = f.Store.Items;
  copy.erase(holder);
  f.Store.restore(copy, 1);
  BOOST_TEST(f.runUntil([&] { return f.Node->StoreEra == 2; }, 2000ms));
  const TimePoint learned = net::readNow().Steady;
  BOOST_TEST(f.runUntil([&] { return f.Store.Items.contains(holder); }, 6000ms));
  BOOST_TEST((net::readNow().Steady - learned >= f.Node->Lease.Options.Ttl - 100ms));
}

// Guards against counts that go to an earlier holder for good: its key, read before a restore of
// the store, was ranked with the era after it, above the key of the next holder.
BOOST_AUTO_TEST_CASE(HolderOfBeforeARestoreGivesWayToTheNext) {
  DutyFixture f;
  const char *holder = "chervil/duty/holder";
  f.Store.Revision += 100;
  f.Store.Items[holder] = {"earlier 1 127.0.0.1:1", ++f.Store.Revision};
  const auto reportsTo = [&](const char *address) {
    return f.runUntil([&] { return f.Node->Holder.PeerAddress == address; }, 4000ms);
  };
  BOOST_TEST(reportsTo("127.0.0.1:1"));
  auto copy = f.Store.Items;
  copy[holder] = {"next 1 127.0.0.1:2", 1};
  f.Store.LostPrefix = "chervil/duty/";
  f.Store.restore(copy, 1);
  BOOST_TEST(f.runUntil([&] { return f.Node->StoreEra == 2; }, 2000ms));
  // Some periods of the reports pass before the key can be read again.
  f.runUntil([] { return false; }, 400ms);
  f.Store.LostPrefix.clear();
  BOOST_TEST(reportsTo("127.0.0.1:2"));
}

BOOST_AUTO_TEST_SUITE_END()
