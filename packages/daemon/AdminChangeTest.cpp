#include "daemon/AdminFixture.h"

using namespace chervil;
using namespace chervil::daemon;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

standin::PlatformFaults &kvFaults(AdminFixture &it) {
  return it.Kv->Faults[static_cast<std::size_t>(standin::PlatformService::Kv)];
}

} // namespace

BOOST_AUTO_TEST_SUITE(AdminContracts)

// Guards against a change that is answered but not stored, not accepted by the head, or not given
// to the local node at once.
BOOST_FIXTURE_TEST_CASE(AChangeIsStoredAndReachesTheNode, AdminFixture) {
  const auto first = put("c1", 0, sampleContract(10));
  BOOST_REQUIRE(first.End.Status == 200);
  BOOST_TEST(first.Body["version"] == 1);
  BOOST_TEST(put("c2", 1, sampleContract(20)).Body["version"] == 2);
  BOOST_TEST(stored().Change.Version == 2U);
  BOOST_TEST(accepted() == 2U);
  BOOST_REQUIRE(Delivered.size() == 2U);
  const auto *document = std::get_if<node::Document>(&Delivered[1]);
  BOOST_REQUIRE(document != nullptr);
  BOOST_TEST(document->Version == 2U);
  BOOST_TEST(document->Name == config::contractKey("acme"));
  BOOST_TEST(document->Body == serialise(stored()));
  BOOST_TEST(Api.Changes.empty());
  node::handleEvent(State, *document, net::readNow(), Rng);
  BOOST_TEST(State.Contracts.at("acme").Limits.RequestsPerSecond == 20);
}

// Guards against a document, version or history that differs from what is stored.
BOOST_FIXTURE_TEST_CASE(ContractsAreReadBack, AdminFixture) {
  BOOST_TEST(errorName(admin("GET", "contracts/acme")) == "unknown_contract");
  put("c1", 0, sampleContract(10));
  put("c2", 1, sampleContract(20));
  const auto document = admin("GET", "contracts/acme");
  BOOST_TEST(document.Body["version"] == 2);
  BOOST_TEST(document.Body["change_id"] == "c2");
  BOOST_TEST(document.Body["source"] == "platform");
  BOOST_TEST(document.Body["contract"]["limits"]["requests_per_second"] == 20);
  const auto history = admin("GET", "contracts/acme/history");
  BOOST_REQUIRE(history.Body["changes"].size() == 2U);
  BOOST_TEST(history.Body["changes"][0]["change_id"] == "c2");
  BOOST_TEST(history.Body["changes"][1]["version"] == 1);
  BOOST_TEST(history.Body["changes"][1]["author"] == "ana");
  BOOST_TEST(admin("GET", "contracts").Body["contracts"].empty());
  node::handleEvent(State, Delivered[1], net::readNow(), Rng);
  const auto list = admin("GET", "contracts");
  BOOST_REQUIRE(list.Body["contracts"].size() == 1U);
  BOOST_TEST(list.Body["contracts"][0]["customer"] == "acme");
  BOOST_TEST(list.Body["contracts"][0]["version"] == 2);
  kvFaults(*this).Outage = standin::OutageMode::Refuse;
  const auto copy = admin("GET", "contracts/acme");
  BOOST_TEST(copy.Body["source"] == "node");
  BOOST_TEST(copy.Body["version"] == 2);
  BOOST_TEST(errorName(admin("GET", "contracts/other")) == "platform_unavailable");
}

// Guards against a second operator's change that overwrites the first, and against a conflict that
// hides either version.
BOOST_FIXTURE_TEST_CASE(AConflictShowsBothVersions, AdminFixture) {
  put("c1", 0, sampleContract(10));
  put("c2", 1, sampleContract(20));
  const auto conflict = put("c3", 1, sampleContract(30));
  BOOST_TEST(conflict.End.Status == 409);
  BOOST_TEST(errorName(conflict) == "version_conflict");
  const json error = conflict.Body["error"];
  BOOST_TEST(error["base_version"] == 1);
  BOOST_TEST(error["current"]["version"] == 2);
  BOOST_TEST(error["current"]["author"] == "ana");
  BOOST_TEST(error["current"]["contract"]["limits"]["requests_per_second"] == 20);
  BOOST_TEST(error["proposed"]["limits"]["requests_per_second"] == 30);
  BOOST_TEST(stored().Change.Version == 2U);
  BOOST_TEST(Delivered.size() == 2U);
  const auto absent = admin(
      "PUT", "contracts/acme2",
      {{"change_id", "c4"}, {"author", "ana"}, {"base_version", 3}, {"contract", [] {
                                                                       json it = sampleContract();
                                                                       it["customer"] = "acme2";
                                                                       return it;
                                                                     }()}});
  BOOST_TEST(absent.End.Status == 409);
  BOOST_TEST(absent.Body["error"]["current"].is_null());
}

// Guards against a change that is written twice, or reported as a conflict with itself, when the
// key-value service loses answers after the write took effect.
BOOST_FIXTURE_TEST_CASE(LostAnswersOfThePlatformAreResolved, AdminFixture) {
  Kv->AnswersToLose = 2;
  const auto answer = put("c1", 0, sampleContract());
  BOOST_TEST(answer.End.Status == 200);
  BOOST_TEST(Kv->Counters.LostAnswers == 2U);
  BOOST_TEST(answer.Body["version"] == 1);
  BOOST_TEST(stored().Change.Version == 1U);
  BOOST_TEST(accepted() == 1U);
  BOOST_TEST(Delivered.size() == 1U);
}

// Guards against a repeated change with the same id, sent by an operator whose answer was lost,
// that is refused or applied again.
BOOST_FIXTURE_TEST_CASE(ARepeatedChangeIsAppliedOnce, AdminFixture) {
  const std::string body = json{
      {"change_id", "c1"},
      {"author", "ana"},
      {"base_version", 0},
      {"contract",
       sampleContract(10)}}.dump();
  // The operator's connection ends while the change is carried out.
  const std::uint64_t id = start(
      "PUT", "/admin/v1/contracts/acme", body, [](const standin::Answer &) {}, Token);
  kvFaults(*this).Latency = 20ms;
  while (Api.Changes.empty())
    wait(1ms);
  net::cancelCall(*Client, id);
  while (!Api.Changes.empty())
    wait(1ms);
  BOOST_TEST(accepted() == 1U);
  BOOST_TEST(put("c2", 1, sampleContract(20)).Body["version"] == 2);
  const auto again = put("c1", 0, sampleContract(10));
  BOOST_TEST(again.End.Status == 200);
  BOOST_TEST(again.Body["version"] == 1);
  BOOST_TEST(stored().Change.Version == 2U);
  // Version 2 was delivered by its own change; the repetition must not deliver it as version 1.
  BOOST_TEST(Delivered.size() == 2U);
}

// Guards against an outage that is reported as a refusal that did not take effect, and against
// `written` that does not tell whether the document holds the change.
BOOST_FIXTURE_TEST_CASE(AnOutageIsReportedAsUnknown, AdminFixture) {
  kvFaults(*this).Outage = standin::OutageMode::Refuse;
  const auto before = put("c1", 0, sampleContract());
  BOOST_TEST(before.End.Status == 503);
  BOOST_TEST(errorName(before) == "platform_unavailable");
  BOOST_TEST(before.Body["error"]["outcome"] == "unknown");
  BOOST_TEST(before.Body["error"]["written"] == false);
  BOOST_TEST(before.Body["error"]["change_id"] == "c1");
  BOOST_TEST(Delivered.empty());
  kvFaults(*this).Outage = standin::OutageMode::Off;
  kvFaults(*this).Latency = 5ms;
  // The outage begins once the document is written and before the head is.
  std::optional<standin::Answer> during;
  start(
      "PUT", "/admin/v1/contracts/acme",
      json{{"change_id", "c1"},
           {"author", "ana"},
           {"base_version", 0},
           {"contract", sampleContract()}}
          .dump(),
      [&](const standin::Answer &it) { during = it; }, Token);
  while (!Kv->Kv.Items.contains(config::contractKey("acme")))
    wait(100us);
  kvFaults(*this).Outage = standin::OutageMode::Refuse;
  while (!during)
    wait(10ms);
  BOOST_TEST(during->End.Status == 503);
  BOOST_TEST(during->Body["error"]["written"] == true);
  BOOST_TEST(Delivered.empty());
}

// Guards against an invalid contract that is stored, or whose faults are reported one by one.
BOOST_FIXTURE_TEST_CASE(EveryFaultOfAContractIsReported, AdminFixture) {
  json wrong = sampleContract();
  wrong["priority"] = "urgent";
  wrong["limits"]["streams"] = -1;
  wrong["unknown"] = true;
  const auto answer = put("c1", 0, wrong);
  BOOST_TEST(answer.End.Status == 400);
  BOOST_TEST(errorName(answer) == "bad_contract");
  BOOST_TEST(answer.Body["error"]["faults"].size() == 3U, answer.Text);
  json other = sampleContract();
  other["customer"] = "someone-else";
  BOOST_TEST(errorName(put("c1", 0, other)) == "bad_contract");
  BOOST_TEST(errorName(put("", 0, sampleContract())) == "bad_request");
  BOOST_TEST(errorName(put(std::string(129, 'x'), 0, sampleContract())) == "bad_contract");
  BOOST_TEST(errorName(admin("PUT", "contracts/acme", {{"base_version", 0}})) == "bad_request");
  BOOST_TEST(errorName(admin("PUT", "contracts/acme", {{"base_version", -1}})) == "bad_request");
  BOOST_TEST(Kv->Counters.Writes == 0U);
}

// Guards against a comparison that misses a change or shows bearer keys.
BOOST_FIXTURE_TEST_CASE(DiffComparesTwoContracts, AdminFixture) {
  json changed = sampleContract(20);
  changed["keys"] = {"another-token-for-test"};
  const auto answer = admin("POST", "diff", {{"a", sampleContract(10)}, {"b", changed}});
  BOOST_TEST(answer.Body["lines"] == json::array({"keys: 1 added, 1 removed",
                                                  "limits.requests_per_second: 10.0 -> 20.0"}),
             answer.Text);
  BOOST_TEST(errorName(admin("POST", "diff", {{"a", sampleContract()}})) == "bad_request");
  BOOST_TEST(errorName(admin("POST", "diff", {{"a", sampleContract()}, {"b", json::object()}})) ==
             "bad_contract");
}

BOOST_AUTO_TEST_SUITE_END()
