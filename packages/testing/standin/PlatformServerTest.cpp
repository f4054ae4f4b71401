#include "testing/standin/PlatformServer.h"
#include "testing/standin/HttpFixture.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::standin;
using namespace std::chrono_literals;

namespace {

struct Fixture : HttpFixture {
  std::unique_ptr<PlatformServer> Platform = std::move(*startPlatform(
      EventLoop, {.BootTime = 0s, .WeightRate = 1e6, .WeightBytes = 1e5, .WeightWaiting = 1}));

  Fixture() { Url = "http://127.0.0.1:" + std::to_string(net::port(*Platform->Http)); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformServers)

// Guards against statuses and shapes that differ from docs/platform.md.
BOOST_FIXTURE_TEST_CASE(KeyValueCallsHaveThePublishedShapes, Fixture) {
  BOOST_TEST(call("GET", "/v1/kv/config/head").End.Status == 404);
  Answer a = call("PUT", "/v1/kv/config/head?if_revision=0", R"({"a":1})");
  BOOST_TEST(a.End.Status == 200);
  BOOST_TEST(a.Body.at("revision") == 1);
  a = call("PUT", "/v1/kv/config/head?if_revision=0", "x");
  BOOST_TEST(a.End.Status == 409);
  BOOST_TEST(a.Body.at("revision") == 1);
  a = call("GET", "/v1/kv/config/head");
  BOOST_TEST(a.Body.at("value") == R"({"a":1})");
  a = call("GET", "/v1/kv?prefix=config/");
  BOOST_TEST(a.Body.at("items").size() == 1U);
  BOOST_TEST(call("PUT", "/v1/kv/big?if_revision=0", std::string(1U << 20, 'v')).End.Status == 200);
  BOOST_TEST(call("PUT", "/v1/kv/big", std::string((1U << 20) + 1, 'v')).End.Status == 413);
  BOOST_TEST(call("DELETE", "/v1/kv/big?if_revision=2").End.Status == 200);
  a = call("GET", "/control/counters");
  BOOST_TEST(a.Body.at("writes") == 3);
  BOOST_TEST(a.Body.at("conflicts") == 1);
}

// Guards against a lost answer that also loses the write, or that is reported as a refusal.
BOOST_FIXTURE_TEST_CASE(LostAnswerKeepsTheWrite, Fixture) {
  call("POST", "/control/lose_answers?writes=1");
  const Answer a = call("PUT", "/v1/kv/a?if_revision=0", "v");
  BOOST_TEST((a.End.Failure == net::HttpFailure::Broken));
  BOOST_TEST(a.End.Status == 0);
  BOOST_TEST(call("GET", "/v1/kv/a").Body.at("value") == "v");
  BOOST_TEST(call("PUT", "/v1/kv/b?if_revision=0", "v").End.Status == 200);
}

// Guards against a watch that does not wake on a write or on the end of a lease.
BOOST_FIXTURE_TEST_CASE(WatchWakesOnWritesAndLeaseEnds, Fixture) {
  std::vector<Json> events;
  start("GET", "/v1/watch?prefix=duty/&after=0&wait_ms=5000", {}, [&](const Answer &a) {
    events.push_back(a.Body.at("events"));
    start("GET", "/v1/watch?prefix=duty/&after=1&wait_ms=5000", {}, [&](const Answer &b) {
      events.push_back(b.Body.at("events"));
      net::stop(EventLoop);
    });
  });
  const std::string lease = call("POST", "/v1/leases?ttl_ms=80").Body.at("id");
  BOOST_TEST(call("PUT", "/v1/kv/duty/shards?if_revision=0&lease=" + lease, "n").End.Status == 200);
  net::run(EventLoop);
  BOOST_REQUIRE(events.size() == 2U);
  BOOST_TEST(events[0].at(0).at("value") == "n");
  BOOST_TEST(events[1].at(0).at("value").is_null());
  BOOST_TEST(call("POST", "/v1/leases/" + lease + "/keepalive").End.Status == 404);
}

// Guards against an outage that answers reads, or that also stops the other services.
BOOST_FIXTURE_TEST_CASE(OutageStopsOneService, Fixture) {
  call("POST", "/control/outage?service=kv&mode=refuse");
  BOOST_TEST(call("GET", "/v1/kv/a").End.Status == 503);
  BOOST_TEST(call("GET", "/v1/vms?after=0").End.Status == 200);
  call("POST", "/control/outage?service=kv&mode=hang");
  int status = 0;
  start("GET", "/v1/kv/a", {}, [&](const Answer &a) { status = a.End.Status; });
  net::after(Timers, 30ms, [&] { net::stop(EventLoop); });
  net::run(EventLoop);
  BOOST_TEST(status == 0);
  call("POST", "/control/outage?service=kv&mode=off");
  BOOST_TEST(call("GET", "/v1/kv/a").End.Status == 404);
  BOOST_TEST(status == 503);
}

// Guards against a granted VM that is live before its process is there, and a silent reclaim.
BOOST_FIXTURE_TEST_CASE(GrantedVmBecomesLiveAndIsReclaimed, Fixture) {
  const std::string order =
      R"({"request_id":"r1","zone":"z1","class":"a1","role":"model","target":"redactor","reclaimable":true})";
  Answer a = call("POST", "/v1/vms", order);
  BOOST_TEST(a.End.Status == 202);
  const std::string id = a.Body.at("id");
  BOOST_TEST(call("POST", "/v1/vms", order).Body.at("id") == id);
  BOOST_TEST(call("GET", "/v1/vms?after=0").Body.at("vms").empty());
  call(
      "POST", "/control/register",
      R"({"address":"127.0.0.1:9","role":"model","target":["redactor"],"zone":"z1","class":"a1","reclaimable":true,"waiting":true,"slots":4,"price_per_hour":1.5})");
  a = call("GET", "/v1/vms?after=0&wait_ms=2000");
  BOOST_REQUIRE(a.Body.at("vms").size() == 1U);
  BOOST_TEST(a.Body.at("vms").at(0).at("id") == id);
  BOOST_TEST(a.Body.at("vms").at(0).at("state") == "live");
  const std::string revision = std::to_string(a.Body.at("revision").get<int>());
  call("POST", "/control/reclaim?zone=z1&notice_s=5");
  a = call("GET", "/v1/notices?after=0");
  BOOST_TEST(a.Body.at("notices").at(0).at("vm") == id);
  a = call("GET", "/v1/vms?after=" + revision + "&wait_ms=2000");
  BOOST_TEST(a.Body.at("vms").at(0).at("state") == "leaving");
  BOOST_TEST(a.Body.at("vms").at(0).at("leave_by_ms") > 0);
  BOOST_TEST(call("GET", "/v1/prices").Body.at("prices").at(0).at("price_per_hour") == 1.5);
  call("POST", "/control/refuse?zone=z1&on=true");
  a = call("POST", "/v1/vms", R"({"request_id":"r2","zone":"z1","class":"a1","role":"model"})");
  BOOST_TEST(a.End.Status == 503);
  BOOST_TEST(a.Body.at("reason") == "no_capacity");
}

// Guards against a weight store without a rate limit or without a bound on waiting transfers.
BOOST_FIXTURE_TEST_CASE(WeightStoreIsRateLimited, Fixture) {
  const TimePoint begin = net::readNow().Steady;
  std::vector<int> statuses;
  const auto note = [&](const Answer &a) {
    statuses.push_back(a.End.Status);
    if (statuses.size() == 3)
      net::stop(EventLoop);
  };
  for (int i = 0; i < 3; ++i)
    start("GET", "/v1/weights/redactor", {}, note);
  net::run(EventLoop);
  BOOST_TEST((statuses == std::vector<int>{429, 200, 200}));
  BOOST_TEST((net::readNow().Steady - begin >= 200ms));
}

BOOST_AUTO_TEST_SUITE_END()
