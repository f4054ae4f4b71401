#include "platform/LeaseHolder.h"

#include "platform/PlatformFixture.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <nlohmann/json.hpp>

using namespace chervil;
using namespace chervil::platform;
using namespace std::chrono_literals;

namespace {

/// A key-value service with one key and leases, whose answers can be lost or delayed.
struct Fixture : PlatformFixture {
  struct Entry {
    std::string Value;
    std::string Lease;
    std::uint64_t Revision = 0;
  };
  std::optional<Entry> Stored;
  std::map<std::string, TimePoint> Leases;
  std::uint64_t Revision = 10;
  int NextLease = 1;
  /// Path suffixes or methods whose answers are lost after they took effect.
  std::function<bool(const net::HttpRequest &)> Lose = [](const auto &) { return false; };
  bool Down = false;
  std::vector<std::uint64_t> Acquired;
  int Lost = 0;

  Fixture() {
    connect({.RequestTimeout = 100ms, .BackoffMin = 5ms, .BackoffMax = 30ms});
    Handler = [this](const net::HttpRequest &r) { serve(r); };
  }

  void expire() {
    const TimePoint now = net::readNow().Steady;
    std::erase_if(Leases, [&](const auto &it) { return it.second <= now; });
    if (Stored && !Stored->Lease.empty() && !Leases.contains(Stored->Lease))
      Stored.reset();
  }

  std::pair<int, nlohmann::json> apply(const net::HttpRequest &r) {
    const TimePoint now = net::readNow().Steady;
    if (r.Path == "/v1/leases") {
      const int ttl = std::stoi(queryOf(r, "ttl_ms"));
      const std::string id = "L" + std::to_string(NextLease++);
      Leases[id] = now + std::chrono::milliseconds(ttl);
      return {200, {{"id", id}, {"ttl_ms", ttl}}};
    }
    if (r.Path.starts_with("/v1/leases/")) {
      const std::string id = r.Path.substr(11, r.Path.find('/', 11) - 11);
      if (!Leases.contains(id))
        return {404, {}};
      if (r.Method == "DELETE")
        Leases.erase(id);
      else
        Leases[id] = now + 300ms;
      return {200, nlohmann::json::object()};
    }
    if (r.Method == "GET") {
      if (!Stored)
        return {404, {}};
      return {200, {{"key", "duty"}, {"value", Stored->Value}, {"revision", Stored->Revision}}};
    }
    const std::uint64_t current = Stored ? Stored->Revision : 0;
    if (queryOf(r, "if_revision") != std::to_string(current))
      return {409, {{"revision", current}}};
    Stored = Entry{r.Body, queryOf(r, "lease"), ++Revision};
    return {200, {{"revision", Revision}}};
  }

  void serve(const net::HttpRequest &r) {
    expire();
    if (Down)
      return reply(r, 503, "");
    const auto [status, body] = apply(r);
    if (Lose(r))
      return abortStream(*Server, r.Id);
    reply(r, status, body.dump());
  }

  LeaseHolderPtr hold(const std::string &name) {
    return startLeaseHolder(
        *Client, {.Key = "duty", .Holder = name, .Ttl = 300ms, .Margin = 50ms, .RetryPeriod = 60ms},
        {.OnAcquired = [this](std::uint64_t fencing) { Acquired.push_back(fencing); },
         .OnLost = [this] { ++Lost; }});
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(LeaseHolding)

// Guards against a lease that is not kept alive, and against a validity that reaches beyond the
// lease's end at the service.
BOOST_FIXTURE_TEST_CASE(LeaseIsAcquiredAndKept, Fixture) {
  const LeaseHolderPtr h = hold("a");
  BOOST_TEST(!isHeld(*h, net::readNow().Steady));
  BOOST_TEST(runUntil([&] { return !Acquired.empty(); }));
  BOOST_TEST(Acquired[0] == 11U);
  BOOST_TEST(fencingNumber(*h) == 11U);
  for (int i = 0; i < 50; ++i) {
    runFor(20ms);
    BOOST_REQUIRE(isHeld(*h, net::readNow().Steady));
    BOOST_REQUIRE((validUntil(*h) + 50ms <= Leases.begin()->second));
  }
  BOOST_TEST(Lost == 0);
  BOOST_TEST(Acquired.size() == 1U);
}

// Guards against two holders at a time, and a holder that never takes over.
BOOST_FIXTURE_TEST_CASE(OnlyOneHoldsAndTheOtherTakesOver, Fixture) {
  LeaseHolderPtr a = hold("a");
  const LeaseHolderPtr b = hold("b");
  for (int i = 0; i < 20; ++i) {
    runFor(10ms);
    const TimePoint now = net::readNow().Steady;
    BOOST_REQUIRE(!(isHeld(*a, now) && isHeld(*b, now)));
  }
  BOOST_TEST(Acquired.size() == 1U);
  LeaseHolder &first = isHeld(*a, net::readNow().Steady) ? *a : *b;
  release(first);
  BOOST_TEST(Lost == 1);
  BOOST_TEST(!isHeld(first, net::readNow().Steady));
  BOOST_TEST(runUntil([&] { return Acquired.size() == 2; }));
  BOOST_TEST(Acquired[1] > Acquired[0]);
}

// Guards against a lost answer to the write that makes the holder give up a key it holds, or hold
// one that it does not.
BOOST_FIXTURE_TEST_CASE(LostAnswerToTheWriteIsResolvedByReading, Fixture) {
  int lost = 0;
  Lose = [&](const net::HttpRequest &r) { return r.Method == "PUT" && lost++ == 0; };
  const LeaseHolderPtr h = hold("a");
  BOOST_TEST(runUntil([&] { return !Acquired.empty(); }));
  BOOST_TEST(lost == 1);
  BOOST_TEST(Acquired[0] == Stored->Revision);
  BOOST_TEST(Leases.size() == 1U);
}

// Guards against a key that an earlier holder of the same name wrote being taken for one's own.
BOOST_FIXTURE_TEST_CASE(KeyOfAnEarlierRunIsNotTaken, Fixture) {
  Leases["old"] = net::readNow().Steady + 200ms;
  Stored = Entry{R"({"holder":"a","lease":"old"})", "old", 5};
  const LeaseHolderPtr h = hold("a");
  runFor(120ms);
  BOOST_TEST(Acquired.empty());
  BOOST_TEST(runUntil([&] { return !Acquired.empty(); }));
}

// Guards against a holder that believes in its lease during an outage, and gives it up too early.
BOOST_FIXTURE_TEST_CASE(OutageEndsTheLeaseAtItsTime, Fixture) {
  const LeaseHolderPtr h = hold("a");
  BOOST_TEST(runUntil([&] { return !Acquired.empty(); }));
  Down = true;
  runFor(100ms);
  BOOST_TEST(isHeld(*h, net::readNow().Steady));
  BOOST_TEST(runUntil([&] { return Lost == 1; }));
  BOOST_TEST(!isHeld(*h, net::readNow().Steady));
  BOOST_TEST((Leases.begin()->second > net::readNow().Steady));
  Down = false;
  BOOST_TEST(runUntil([&] { return Acquired.size() == 2; }));
}

// Guards against a short outage that costs the lease.
BOOST_FIXTURE_TEST_CASE(ShortOutageKeepsTheLease, Fixture) {
  const LeaseHolderPtr h = hold("a");
  BOOST_TEST(runUntil([&] { return !Acquired.empty(); }));
  Down = true;
  runFor(120ms);
  Down = false;
  runFor(400ms);
  BOOST_TEST(Lost == 0);
  BOOST_TEST(isHeld(*h, net::readNow().Steady));
}

// Guards against a process that was paused beyond its lease and still believes in it.
BOOST_FIXTURE_TEST_CASE(PausedHolderDoesNotBelieveItHolds, Fixture) {
  const LeaseHolderPtr h = hold("a");
  BOOST_TEST(runUntil([&] { return !Acquired.empty(); }));
  const TimePoint end = net::readNow().Steady + 300ms;
  while (net::readNow().Steady < end)
    ;
  BOOST_TEST(!isHeld(*h, net::readNow().Steady));
  BOOST_TEST(runUntil([&] { return Lost == 1; }));
}

// Guards against a lease that the service has ended being kept until its time.
BOOST_FIXTURE_TEST_CASE(LeaseEndedByTheServiceIsLostAtOnce, Fixture) {
  const LeaseHolderPtr h = hold("a");
  BOOST_TEST(runUntil([&] { return !Acquired.empty(); }));
  Leases.clear();
  BOOST_TEST(runUntil([&] { return Lost == 1; }));
  BOOST_TEST(runUntil([&] { return Acquired.size() == 2; }));
  BOOST_TEST(Acquired[1] > Acquired[0]);
}

BOOST_AUTO_TEST_SUITE_END()
