#include "daemon/AdminFixture.h"

using namespace chervil;
using namespace chervil::daemon;
using namespace std::chrono_literals;
using nlohmann::json;

BOOST_AUTO_TEST_SUITE(Admin)

// Guards against an operator endpoint that answers without the token, or with a part of it.
BOOST_FIXTURE_TEST_CASE(EveryAdminPathNeedsTheToken, AdminFixture) {
  const std::pair<const char *, const char *> endpoints[] = {
      {"GET", "nodes"},           {"GET", "backends"},
      {"GET", "shards"},          {"GET", "contracts"},
      {"GET", "contracts/acme"},  {"PUT", "contracts/acme"},
      {"POST", "diff"},           {"GET", "contracts/acme/history"},
      {"POST", "drain"},          {"POST", "explain"},
      {"GET", "requests/acme/k"}, {"GET", "no-such-path"}};
  for (const auto &[method, path] : endpoints)
    for (const char *value : {"", "Bearer ", "Bearer admin-toke", "Bearer admin-tokens",
                              "Bearer Admin-token", "admin-token", "Basic admin-token"}) {
      const auto answer =
          call(method, std::string("/admin/v1/") + path, "", {{"Authorization", value}});
      BOOST_TEST(answer.End.Status == 401, method << " " << path << " with '" << value << "'");
      BOOST_TEST(errorName(answer) == "unauthorised");
    }
  BOOST_TEST(Delivered.empty());
  BOOST_TEST(Drains.empty());
  BOOST_TEST(Refused.size() == 12U * 7U);
  Api.Token.clear();
  BOOST_TEST(call("GET", "/admin/v1/nodes", "", {{"Authorization", "Bearer "}}).End.Status == 401);
}

// Guards against health checks that need a token, and against a node that is reported ready before
// it can serve or while it leaves.
BOOST_FIXTURE_TEST_CASE(HealthReadinessAndMetricsAreOpen, AdminFixture) {
  BOOST_TEST(call("GET", "/healthz").End.Status == 200);
  const auto metrics = call("GET", "/metrics");
  BOOST_TEST(metrics.End.Status == 200);
  BOOST_TEST(metrics.Text == "chervil_up 1\n");
  const auto notReady = call("GET", "/readyz");
  BOOST_TEST(notReady.End.Status == 503);
  BOOST_TEST(errorName(notReady) == "not_ready");
  learnContract();
  learnBackends();
  shard::ShardMap map{1, {{State.Self, {}, 1, false, std::nullopt}}};
  node::handleEvent(State, node::Document{"shards/map", 1, shard::serialise(map)}, net::readNow(),
                    Rng);
  BOOST_TEST(call("GET", "/readyz").End.Status == 200);
  node::handleEvent(State, node::Leave{net::readNow().Wall + 1h}, net::readNow(), Rng);
  BOOST_TEST(errorName(call("GET", "/readyz")) == "node_leaving");
}

// Guards against refusals without the documented form for requests that are wrong themselves.
BOOST_FIXTURE_TEST_CASE(WrongRequestsAreRefused, AdminFixture) {
  BOOST_TEST(errorName(call("GET", "/nothing")) == "not_found");
  BOOST_TEST(errorName(call("POST", "/healthz")) == "wrong_method");
  BOOST_TEST(errorName(admin("GET", "nothing")) == "not_found");
  BOOST_TEST(errorName(admin("POST", "nodes")) == "wrong_method");
  BOOST_TEST(errorName(admin("DELETE", "contracts/acme")) == "wrong_method");
  BOOST_TEST(errorName(admin("GET", "contracts/")) == "not_found");
  BOOST_TEST(errorName(admin("GET", "requests/acme")) == "not_found");
  BOOST_TEST(errorName(call("POST", "/admin/v1/drain", "{", Token)) == "bad_json");
  BOOST_TEST(errorName(call("POST", "/admin/v1/drain", "[]", Token)) == "bad_request");
  const std::string large(1 << 17, ' ');
  BOOST_TEST(errorName(call("POST", "/admin/v1/drain", large, Token)) == "body_too_large");
  const auto refused = admin("GET", "nothing");
  for (const char *name : {"code", "name", "outcome", "retry", "message"})
    BOOST_TEST(refused.Body["error"].contains(name), name);
}

// Guards against fields that operators rely on being absent or wrong.
BOOST_FIXTURE_TEST_CASE(NodesBackendsAndShardsAreShown, AdminFixture) {
  learnBackends();
  const auto nodes = admin("GET", "nodes");
  BOOST_REQUIRE(nodes.Body["nodes"].size() == 1U);
  const json self = nodes.Body["nodes"][0];
  BOOST_TEST(self["name"] == "n1");
  BOOST_TEST(self["incarnation"] == 1000);
  BOOST_TEST(self["data_centre"] == "pamplona");
  BOOST_TEST(self["caller_address"] == "127.0.0.1:8001");
  BOOST_TEST(self["state"] == "alive");
  BOOST_TEST(self["leave_by_ms"].is_null());
  const auto backends = admin("GET", "backends");
  BOOST_REQUIRE(backends.Body["backends"].size() == 3U);
  const json first = backends.Body["backends"][0];
  BOOST_TEST(first["name"] == "e1");
  BOOST_TEST(first["targets"] == json::array({"redactor"}));
  BOOST_TEST(first["zone"] == "p1");
  BOOST_TEST(first["class"] == "gpu-l");
  BOOST_TEST(first["state"] == "live");
  BOOST_TEST(first["running"] == 0);
  BOOST_TEST(first["slow_factor"] == 1.0);
  BOOST_TEST(first["ejected"] == false);
  BOOST_TEST(backends.Body["backends"][1]["state"] == "leaving");
  State.Map = {7, {{State.Self, {"n2", 2000}, 5, true, WallTime(9ms)}}};
  const auto shards = admin("GET", "shards");
  BOOST_TEST(shards.Body["version"] == 7);
  const json shard = shards.Body["shards"][0];
  BOOST_TEST(shard["owner"]["name"] == "n1");
  BOOST_TEST(shard["standby"]["incarnation"] == 2000);
  BOOST_TEST(shard["epoch"] == 5);
  BOOST_TEST(shard["ready"] == true);
  BOOST_TEST(shard["lost_since_ms"] == 9);
}

// Guards against a drain that does not reach the node, that accepts a time out of range, or that
// reports a later time than one already set.
BOOST_FIXTURE_TEST_CASE(DrainMakesTheNodeLeave, AdminFixture) {
  for (const json &wrong : {json(-1), json(86'400'001), json("1s"), json(1.5)})
    BOOST_TEST(errorName(admin("POST", "drain", {{"drain_ms", wrong}})) == "bad_request");
  BOOST_TEST(Drains.empty());
  const WallTime before = net::readNow().Wall;
  const auto answer = admin("POST", "drain", {{"drain_ms", 5000}});
  BOOST_REQUIRE(answer.End.Status == 200);
  BOOST_REQUIRE(Drains.size() == 1U);
  BOOST_TEST((Drains[0] == 5s));
  const WallTime by(std::chrono::milliseconds(answer.Body["leave_by_ms"].get<std::int64_t>()));
  BOOST_TEST((by >= before + 5s && by <= net::readNow().Wall + 5s));
  node::handleEvent(State, node::Leave{by}, net::readNow(), Rng);
  const auto again = admin("POST", "drain", {{"drain_ms", 60000}});
  BOOST_TEST(again.Body["leave_by_ms"] == answer.Body["leave_by_ms"]);
  BOOST_TEST(admin("POST", "drain").End.Status == 200);
  BOOST_REQUIRE(Drains.size() == 3U);
  BOOST_TEST((Drains[2] == State.Settings.DrainTime));
}

// Guards against an explanation that differs from routing's choice or ignores the contract.
BOOST_FIXTURE_TEST_CASE(ExplainShowsCandidatesAndScores, AdminFixture) {
  learnContract();
  learnBackends();
  const json chat = {{"model", "redactor"},
                     {"messages", {{{"role", "user"}, {"content", "hello"}}}}};
  const auto answer = admin("POST", "explain?customer=acme&hint=status", chat);
  BOOST_REQUIRE(answer.End.Status == 200);
  // The choice is the best of the candidates shown; e2 is leaving.
  std::string best;
  double least = 1e12;
  for (const json &it : answer.Body["candidates"]) {
    BOOST_TEST(it["backend"] != "e2");
    BOOST_TEST(it["rejected"] == "");
    BOOST_TEST(it["slow_factor"] == 1.0);
    if (it["expected_ms"] < least) {
      least = it["expected_ms"];
      best = it["backend"];
    }
  }
  BOOST_TEST(answer.Body["candidates"].size() == 2U, answer.Text);
  BOOST_TEST(answer.Body["result"]["backend"] == best);
  BOOST_TEST(answer.Body["result"]["expected_ms"] == least);
  BOOST_TEST(least > 0);
  BOOST_TEST(State.Routes.Requests.empty());
  const auto service = admin("POST", "explain?customer=acme",
                             {{"service", "bookings"}, {"method", "POST"}, {"path", "/b"}});
  BOOST_TEST(service.Body["target"] == "despacho");
  BOOST_TEST(service.Body["repeatable"] == false);
  BOOST_TEST(service.Body["result"]["name"] == "unknown_service");
  BOOST_TEST(errorName(admin("POST", "explain?customer=nobody", chat)) == "unknown_contract");
  BOOST_TEST(errorName(admin("POST", "explain?customer=acme", {{"service", "x"}})) ==
             "unknown_service");
  BOOST_TEST(errorName(admin("POST", "explain", {{"model", 1}})) == "bad_request");
}

// Guards against a record, a mark or an execution that is not found under its key.
BOOST_FIXTURE_TEST_CASE(RequestsAreFoundByKey, AdminFixture) {
  const RequestKey key{"acme", "k/1"};
  const auto missing = admin("GET", "requests/acme/k%2F1");
  BOOST_TEST(missing.End.Status == 404);
  BOOST_TEST(errorName(missing) == "request_not_found");
  State.Map = {1, {{{"n9", 9}, {}, 3, false, std::nullopt}}};
  BOOST_TEST(admin("GET", "requests/acme/k%2F1").Body["error"]["placement"]["owner"]["name"] ==
             "n9");
  record::Record record;
  record.Data.Key = key;
  record.Data.State = message::RecordState::Finished;
  record.Data.Attempt = 2;
  record.Data.Answer = "text";
  State.Records.Records.emplace(key, record);
  node::Execution execution;
  execution.Backend = "e1";
  State.Executions.emplace(key, execution);
  record::Mark mark;
  mark.KeyCheck = record::keyCheckOf(key);
  mark.State = message::RecordState::Unknown;
  record::addMark(State.Records.Marks, hashOf(key), mark);
  const auto found = admin("GET", "requests/acme/k%2F1");
  BOOST_TEST(found.Body["record"]["state"] == "finished");
  BOOST_TEST(found.Body["record"]["attempt"] == 2);
  BOOST_TEST(found.Body["record"]["answer_bytes"] == 4);
  BOOST_TEST(found.Body["mark"]["state"] == "unknown");
  BOOST_TEST(found.Body["execution"]["backend"] == "e1");
}

BOOST_AUTO_TEST_SUITE_END()
