#include "platform/CloudClient.h"
#include "platform/EngineClient.h"
#include "platform/KvClient.h"
#include "platform/PlatformFixture.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace chervil;
using namespace chervil::platform;
using namespace std::chrono_literals;

namespace {

struct Fixture : PlatformFixture {
  CallResult<std::uint64_t> put(std::uint64_t revision = 3) {
    return finish<std::uint64_t>([&](auto callback) {
      kvPut(*Client, "config/contracts/acme", "v", revision, {}, callback);
    });
  }
  CallResult<KvItem> get(const std::string &key) {
    return finish<KvItem>([&](auto callback) { kvGet(*Client, key, callback); });
  }
  std::uint64_t calls(CallKind kind) const {
    return counters(*Client).Calls[static_cast<std::size_t>(kind)];
  }
};

bool is(CallOutcome a, CallOutcome b) { return a == b; }

const char *const VmText =
    R"({"id":"vm-1","address":"10.0.1.1:9000","role":"model","target":["redactor"],"region":"norte",)"
    R"("data_centre":"bilbao","zone":"b1","class":"gpu-l","reclaimable":true,"price_per_hour":2.5,)"
    R"("slots":8,"checks_fencing":true,"state":"leaving","leave_by_ms":1764800000000})";

} // namespace

BOOST_AUTO_TEST_SUITE(Platform)

// Guards against keys whose slashes or special characters are altered on the way.
BOOST_FIXTURE_TEST_CASE(KeysAreEncoded, Fixture) {
  Handler = [this](const net::HttpRequest &r) {
    reply(r, 200,
          nlohmann::json{{"key", r.Path.substr(7)}, {"value", "x"}, {"revision", 4}}.dump());
  };
  for (const std::string key : {"config/contracts/acme", "a b/%2F?x=1&y#z", "ñ"}) {
    const auto r = get(key);
    BOOST_TEST(is(r.Outcome, CallOutcome::Done));
    BOOST_TEST(r.Value.Key == key);
    BOOST_TEST(r.Value.Revision == 4U);
  }
  BOOST_TEST(Requests[0].Path == "/v1/kv/config/contracts/acme");
}

// Guards against a request that differs from the published form.
BOOST_FIXTURE_TEST_CASE(WritesCarryRevisionAndLease, Fixture) {
  answer(200, R"({"revision":9})");
  const auto r = finish<std::uint64_t>([&](auto callback) {
    kvPut(*Client, "duty/shards", "raw \"value\"", 0, "lease&1", callback);
  });
  BOOST_TEST(is(r.Outcome, CallOutcome::Done));
  BOOST_TEST(r.Value == 9U);
  BOOST_TEST(Requests[0].Method == "PUT");
  BOOST_TEST(Requests[0].Body == "raw \"value\"");
  BOOST_TEST(queryOf(Requests[0], "if_revision") == "0");
  BOOST_TEST(queryOf(Requests[0], "lease") == "lease&1");
  finish<std::uint64_t>([&](auto callback) { kvDelete(*Client, "k", 7, callback); });
  BOOST_TEST(Requests[1].Method == "DELETE");
  BOOST_TEST(queryOf(Requests[1], "if_revision") == "7");
  BOOST_TEST(calls(CallKind::KvPut) == 1U);
  BOOST_TEST(calls(CallKind::KvDelete) == 1U);
}

// Guards against a write whose outcome is reported with more certainty than there is.
BOOST_FIXTURE_TEST_CASE(OutcomesOfWritesAreTold, Fixture) {
  connect({.RequestTimeout = 100ms});
  answer(409, R"({"revision":12})");
  BOOST_TEST(is(put().Outcome, CallOutcome::Conflict));
  BOOST_TEST(put().Value == 12U);
  answer(409, "garbage");
  BOOST_TEST(is(put().Outcome, CallOutcome::Conflict));
  answer(400, "{}");
  BOOST_TEST(is(put().Outcome, CallOutcome::Refused));
  for (const int status : {500, 502, 503, 504, 408}) {
    answer(status, "{}");
    BOOST_TEST(is(put().Outcome, CallOutcome::Unknown), status);
  }
  for (const char *body :
       {"", "{", "[]", "{}", R"({"revision":"9"})", R"({"revision":-1.5e400})"}) {
    answer(200, body);
    const auto outcome = put().Outcome;
    BOOST_TEST(is(outcome, CallOutcome::Unknown), body);
  }
  // Lost answers: none within the time, and a connection that ends after the request arrived.
  Handler = nullptr;
  BOOST_TEST(is(put().Outcome, CallOutcome::Unknown));
  Handler = [this](const net::HttpRequest &r) { abortStream(*Server, r.Id); };
  BOOST_TEST(is(put().Outcome, CallOutcome::Unknown));
  Server.reset();
  BOOST_TEST(is(put().Outcome, CallOutcome::NotSent));
}

// Guards against libcurl repeating a compare-and-swap on a connection kept from an earlier call.
BOOST_FIXTURE_TEST_CASE(LostWriteIsSentOnce, Fixture) {
  answer(200, R"({"key":"k","value":"","revision":1})");
  get("k");
  get("k");
  const std::size_t before = Requests.size();
  Handler = [this](const net::HttpRequest &r) { abortStream(*Server, r.Id); };
  BOOST_TEST(is(put().Outcome, CallOutcome::Unknown));
  BOOST_TEST(Requests.size() == before + 1);
}

// Guards against a missing key that is taken for an outage, and the reverse.
BOOST_FIXTURE_TEST_CASE(MissingKeyIsNotFound, Fixture) {
  answer(404, "");
  BOOST_TEST(is(get("k").Outcome, CallOutcome::NotFound));
  answer(500, "");
  BOOST_TEST(is(get("k").Outcome, CallOutcome::Unknown));
}

BOOST_FIXTURE_TEST_CASE(ListIsRead, Fixture) {
  answer(200, R"({"revision":5,"items":[{"key":"a/1","value":"x","revision":2},)"
              R"({"key":"a/2","value":"","revision":5}]})");
  const auto r = finish<KvList>([&](auto callback) { kvList(*Client, "a/", callback); });
  BOOST_REQUIRE(is(r.Outcome, CallOutcome::Done));
  BOOST_TEST(r.Value.Revision == 5U);
  BOOST_REQUIRE(r.Value.Items.size() == 2U);
  BOOST_TEST(r.Value.Items[1].Key == "a/2");
  BOOST_TEST(queryOf(Requests[0], "prefix") == "a/");
}

// Guards against unbounded calls during an outage in which the service holds every call.
BOOST_FIXTURE_TEST_CASE(CallsAtATimeAreBounded, Fixture) {
  connect({.RequestTimeout = 100ms, .MaxCalls = 3});
  int notSent = 0;
  int unknown = 0;
  for (int i = 0; i < 10; ++i)
    kvGet(*Client, "k", [&](const CallResult<KvItem> &r) {
      notSent += r.Outcome == CallOutcome::NotSent ? 1 : 0;
      unknown += r.Outcome == CallOutcome::Unknown ? 1 : 0;
    });
  BOOST_TEST(runUntil([&] { return notSent + unknown == 10; }));
  BOOST_TEST(notSent == 7);
  BOOST_TEST(counters(*Client).OverBound == 7U);
  BOOST_TEST(calls(CallKind::KvGet) == 3U);
  // The bound is on calls that are open, not on their total.
  answer(200, R"({"key":"k","value":"","revision":1})");
  BOOST_TEST(is(get("k").Outcome, CallOutcome::Done));
}

// Guards against lost or repeated changes: each poll continues after the revision of the last.
BOOST_FIXTURE_TEST_CASE(WatchContinuesFromTheLastRevision, Fixture) {
  connect({.PollWait = 200ms, .PollSpacing = 1ms});
  Handler = [this](const net::HttpRequest &r) {
    const int after = std::stoi(queryOf(r, "after"));
    if (after < 5)
      reply(r, 200,
            nlohmann::json{{"revision", after + 1},
                           {"events",
                            {{{"key", "config/x"},
                              {"value", after == 4 ? nlohmann::json() : nlohmann::json("v")},
                              {"revision", after + 1}}}}}
                .dump());
  };
  std::vector<KvEvent> events;
  const LongPollPtr watch = watchKv(
      *Client, "config/", 2,
      [&](const KvChanges &c) { events.insert(events.end(), c.Events.begin(), c.Events.end()); },
      {});
  BOOST_TEST(runUntil([&] { return events.size() == 3; }));
  BOOST_TEST(events[0].Revision == 3U);
  BOOST_TEST(events[0].Value.value_or("") == "v");
  BOOST_TEST(!events[2].Value.has_value());
  BOOST_TEST(queryOf(Requests[0], "prefix") == "config/");
  BOOST_TEST(queryOf(Requests[0], "wait_ms") == "200");
  BOOST_TEST(Requests.size() <= 4U);
}

// Guards against a long poll that spins: on errors, garbage, an answer without news that comes at
// once, a revision that goes back, and news without end.
BOOST_FIXTURE_TEST_CASE(LongPollsNeverSpin, Fixture) {
  struct Case {
    int Status;
    const char *Body;
    std::size_t Most;
  };
  for (const Case &c : std::initializer_list<Case>{
           {500, "{}", 8},
           {429, "{}", 8},
           {200, "garbage", 8},
           {200, R"({"revision":1,"events":[]})", 8},
           {200, R"({"revision":5,"events":[]})", 4},
           {200, R"({"revision":9,"events":[{"key":"k","value":"v","revision":9}]})", 9},
       }) {
    connect({.PollWait = 1000ms, .PollSpacing = 50ms, .BackoffMin = 50ms, .BackoffMax = 5s});
    Requests.clear();
    answer(c.Status, c.Body);
    int errors = 0;
    LongPollPtr watch = watchKv(
        *Client, "", 5, [](const KvChanges &) {},
        [&](CallOutcome, const std::string &) { ++errors; });
    runFor(400ms);
    watch.reset();
    BOOST_TEST(Requests.size() >= 1U, c.Status << c.Body);
    BOOST_TEST(Requests.size() <= c.Most, c.Status << c.Body);
  }
}

// Guards against a watch that does not recover after an outage of the service.
BOOST_FIXTURE_TEST_CASE(WatchRecoversFromAnOutage, Fixture) {
  connect({.PollWait = 500ms, .BackoffMin = 10ms, .BackoffMax = 50ms});
  answer(503, "");
  int errors = 0;
  std::uint64_t seen = 0;
  const LongPollPtr watch = watchKv(
      *Client, "", 1, [&](const KvChanges &c) { seen = c.Revision; },
      [&](CallOutcome, const std::string &) { ++errors; });
  BOOST_TEST(runUntil([&] { return errors >= 3; }));
  answer(200, R"({"revision":2,"events":[{"key":"k","value":"v","revision":2}]})");
  BOOST_TEST(runUntil([&] { return seen == 2; }));
}

// Guards against a poll that uses freed memory when its owner drops it in the callback.
BOOST_FIXTURE_TEST_CASE(LongPollMayBeDroppedInItsCallback, Fixture) {
  answer(200, R"({"revision":2,"events":[{"key":"k","value":"v","revision":2}]})");
  int seen = 0;
  LongPollPtr watch;
  watch = watchKv(*Client, "", 1,
                  [&](const KvChanges &) {
                    ++seen;
                    watch.reset();
                  },
                  {});
  BOOST_TEST(runUntil([&] { return seen == 1; }));
  runFor(150ms);
  BOOST_TEST(seen == 1);
  BOOST_TEST(Requests.size() == 1U);
}

// Guards against one malformed VM that hides the others, and against a field that is lost.
BOOST_FIXTURE_TEST_CASE(VmListIsRead, Fixture) {
  answer(200, std::string(R"({"revision":8,"vms":[{"id":"broken"},)") + VmText + "]}");
  std::vector<VmChanges> seen;
  const LongPollPtr poll = pollVms(*Client, 0, [&](const VmChanges &c) { seen.push_back(c); }, {});
  BOOST_REQUIRE(runUntil([&] { return !seen.empty(); }));
  BOOST_TEST(seen[0].Malformed == 1U);
  BOOST_REQUIRE(seen[0].Vms.size() == 1U);
  const Vm &vm = seen[0].Vms[0];
  BOOST_TEST(vm.Id == "vm-1");
  BOOST_TEST((vm.Role == VmRole::Model));
  BOOST_TEST((vm.State == VmState::Leaving));
  BOOST_TEST(vm.Targets == std::vector<std::string>{"redactor"}, boost::test_tools::per_element());
  BOOST_TEST(vm.Slots == 8U);
  BOOST_TEST(vm.ChecksFencing);
  BOOST_TEST(vm.PricePerHour == 2.5);
  BOOST_TEST((vm.LeaveBy == WallTime(1764800000000ms)));
}

BOOST_FIXTURE_TEST_CASE(NoticesAreRead, Fixture) {
  answer(200, R"({"seq":4,"notices":[{"seq":4,"vm":"vm-1","leave_by_ms":1764800000000}]})");
  std::vector<ReclaimNotice> seen;
  const LongPollPtr poll =
      pollNotices(*Client, 3, [&](const std::vector<ReclaimNotice> &n) { seen = n; }, {});
  BOOST_REQUIRE(runUntil([&] { return !seen.empty(); }));
  BOOST_TEST(seen[0].Vm == "vm-1");
  BOOST_TEST(queryOf(Requests[0], "after") == "3");
}

// Guards against a refusal by the cloud that is taken for an unknown outcome, and the reverse.
BOOST_FIXTURE_TEST_CASE(VmRequestsAreMadeAndRefused, Fixture) {
  const auto ask = [&] {
    return finish<std::string>([&](auto callback) {
      requestVm(*Client, {.RequestId = "r1", .Zone = "b1", .Class = "gpu-l", .Target = "redactor"},
                callback);
    });
  };
  answer(202, R"({"id":"vm-9"})");
  BOOST_TEST(ask().Value == "vm-9");
  const auto body = nlohmann::json::parse(Requests[0].Body);
  BOOST_TEST(body["request_id"] == "r1");
  BOOST_TEST(body["role"] == "model");
  BOOST_TEST(body["reclaimable"] == true);
  answer(503, "{}", {{"Retry-After", "7"}});
  const auto refused = ask();
  BOOST_TEST(is(refused.Outcome, CallOutcome::Refused));
  BOOST_TEST((refused.RetryAfter == 7s));
  answer(500, "{}");
  BOOST_TEST(is(ask().Outcome, CallOutcome::Unknown));
  answer(204, "");
  BOOST_TEST(is(finish<bool>([&](auto callback) { releaseVm(*Client, "vm-9", callback); }).Outcome,
                CallOutcome::Done));
  BOOST_TEST(Requests.back().Method == "DELETE");
  BOOST_TEST(Requests.back().Path == "/v1/vms/vm-9");
}

BOOST_FIXTURE_TEST_CASE(PricesAndWeightsAreRead, Fixture) {
  answer(200,
         R"({"prices":[{"zone":"b1","class":"gpu-l","reclaimable":true,"price_per_hour":1.5}]})");
  const auto prices =
      finish<std::vector<VmPrice>>([&](auto callback) { getPrices(*Client, callback); });
  BOOST_REQUIRE(prices.Value.size() == 1U);
  BOOST_TEST(prices.Value[0].PricePerHour == 1.5);
  answer(200,
         R"({"bytes_per_second":1000,"weights":[{"name":"redactor","version":"3","bytes":5}]})");
  const auto weights =
      finish<WeightStoreState>([&](auto callback) { getWeights(*Client, callback); });
  BOOST_TEST(weights.Value.BytesPerSecond == 1000U);
  BOOST_REQUIRE(weights.Value.Weights.size() == 1U);
  BOOST_TEST(weights.Value.Weights[0].Version == "3");
  answer(429, "", {{"Retry-After", "2"}});
  const auto limited =
      finish<WeightStoreState>([&](auto callback) { getWeights(*Client, callback); });
  BOOST_TEST(is(limited.Outcome, CallOutcome::Refused));
  BOOST_TEST((limited.RetryAfter == 2s));
}

// Guards against a load report that is read although part of it is missing or malformed.
BOOST_AUTO_TEST_CASE(EngineLoadIsParsed) {
  const auto load = parseEngineLoad("running=3;queued=2; slots=8;age_ms=120;extra=x");
  BOOST_REQUIRE(load.has_value());
  BOOST_TEST(load->Running == 3U);
  BOOST_TEST(load->Queued == 2U);
  BOOST_TEST(load->Slots == 8U);
  BOOST_TEST((load->Age == 120ms));
  for (const char *bad :
       {"", "running=3", "running=3;queued=2;slots=8;age_ms=",
        "running=3;queued=2;slots=8;age_ms=-1", "running=3;queued=2;slots=8;age_ms=99999999999",
        "running=3;running=3;queued=2;slots=8;age_ms=1", "running=3x;queued=2;slots=8;age_ms=1",
        ";;;", "=;=;=;="})
    BOOST_TEST(!parseEngineLoad(bad).has_value(), bad);
}

// Guards against an order without its fencing number, and a rejected one that counts as done.
BOOST_FIXTURE_TEST_CASE(OrdersCarryTheirFencingNumber, Fixture) {
  const auto order = [&] {
    return finish<bool>([&](auto callback) {
      sendOrder(*Client, engine(),
                {.OrderId = "o1", .Fencing = 41, .Kind = "load_model", .Fields = {{"model", "m"}}},
                callback);
    });
  };
  answer(200, "{}");
  BOOST_TEST(is(order().Outcome, CallOutcome::Done));
  const auto body = nlohmann::json::parse(Requests[0].Body);
  BOOST_TEST(body["fencing"] == 41);
  BOOST_TEST(body["order_id"] == "o1");
  BOOST_TEST(body["model"] == "m");
  answer(409, "{}");
  BOOST_TEST(is(order().Outcome, CallOutcome::Conflict));
  answer(200, R"({"handle":"x","bytes":77})");
  const auto exported =
      finish<KvExport>([&](auto callback) { exportKv(*Client, engine(), "req", callback); });
  BOOST_TEST(exported.Value.Bytes == 77U);
  answer(404, "");
  BOOST_TEST(is(finish<bool>([&](auto callback) {
                  cancelRequest(*Client, engine(), "a/b", callback);
                }).Outcome,
                CallOutcome::NotFound));
  BOOST_TEST(Requests.back().Path == "/v1/requests/a/b");
}

BOOST_AUTO_TEST_SUITE_END()
