#include "ctl/admin/CommandFixture.h"
#include "ctl/admin/ConflictView.h"
#include "daemon/AdminFixture.h"

using namespace chervil;
using namespace chervil::ctl;
using nlohmann::json;

namespace {

json contractOf(double rate, int priority = 2) {
  json out = daemon::sampleContract(rate);
  out["priority"] = priority;
  return out;
}

json documentOf(int version, const json &contract) {
  return {{"version", version}, {"change_id", "c"}, {"author", "ana"}, {"contract", contract}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ContractCommands)

// Guards against a second change id for a repeated change, which would make it a second change.
BOOST_FIXTURE_TEST_CASE(ALostAnswerIsRepeatedWithTheSameChangeId, CommandFixture) {
  Answers = {{0, ""}, {0, ""}, {200, R"({"version":5})"}};
  const std::string path = file(documentOf(4, contractOf(10)).dump());
  BOOST_TEST(run(contractsCommand, {"contracts", "put", path, "--author", "bea"}) == 0);
  BOOST_TEST(Out.str() == "acme is at version 5\n");
  BOOST_REQUIRE(Requests.size() == 3U);
  BOOST_TEST(Requests[0].Method == "PUT");
  BOOST_TEST(Requests[0].Path == "/admin/v1/contracts/acme");
  BOOST_TEST(Requests[0].Body == Requests[1].Body);
  BOOST_TEST(Requests[0].Body == Requests[2].Body);
  const json body = json::parse(Requests[0].Body);
  BOOST_TEST(body["base_version"] == 4);
  BOOST_TEST(body["author"] == "bea");
  BOOST_TEST(body["change_id"].get<std::string>().size() == 36U);
}

// Guards against an unknown outcome that is not told with the id needed to repeat the change.
BOOST_FIXTURE_TEST_CASE(AnUnknownOutcomeNamesTheChangeId, CommandFixture) {
  const std::string path = file(contractOf(10).dump());
  const std::vector<std::string> args = {"contracts", "put",         path,   "--base-version",
                                         "0",         "--change-id", "my-id"};
  Answers = {{0, ""}};
  BOOST_TEST(run(contractsCommand, args) == 3);
  BOOST_TEST(printed("--change-id my-id"));
  Answers = {{503, refusal("platform_unavailable", {{"outcome", "unknown"}, {"written", true}})}};
  BOOST_TEST(run(contractsCommand, args) == 1);
  BOOST_TEST(printed("--change-id my-id"));
  BOOST_TEST(printed("the document is written"));
  BOOST_TEST(run(contractsCommand, {"contracts", "put", path}) == 2);
  BOOST_TEST(printed("--base-version"));
}

// Guards against a conflict whose three sides are mixed up.
BOOST_FIXTURE_TEST_CASE(AConflictShowsBaseTheirsAndYours, CommandFixture) {
  Answers = {{409, refusal("version_conflict", {{"base_version", 1},
                                                {"current", documentOf(2, contractOf(20, 3))},
                                                {"proposed", contractOf(30)}})}};
  const std::string base = file(documentOf(1, contractOf(10)).dump());
  const std::string yours = file(contractOf(30).dump());
  BOOST_TEST(run(contractsCommand, {"contracts", "put", yours, "--base", base}) == 1);
  BOOST_TEST(Out.str() == "theirs is version 2 by ana; yours was made from version 1\n"
                          "FIELD                       BASE  THEIRS  YOURS      \n"
                          "limits.requests_per_second  10.0  20.0    30.0       conflict\n"
                          "priority                    2     3       (as base)  \n");
  BOOST_TEST(json::parse(Requests.at(0).Body)["base_version"] == 1);
  BOOST_TEST(run(contractsCommand, {"contracts", "put", yours, "--base-version", "1"}) == 1);
  BOOST_TEST(printed("limits.requests_per_second  20.0    30.0"));
  Answers = {{409, refusal("version_conflict", {{"current", nullptr}, {"proposed", json()}})}};
  BOOST_TEST(run(contractsCommand, {"contracts", "put", yours, "--base", base}) == 1);
  BOOST_TEST(printed("the contract does not exist"));
}

// Guards against an invalid contract that is sent, and against faults that are cut short.
BOOST_FIXTURE_TEST_CASE(AnInvalidContractIsNotSent, CommandFixture) {
  json wrong = contractOf(10);
  wrong["priority"] = "x";
  wrong["other"] = 1;
  const std::string path = file(wrong.dump());
  BOOST_TEST(run(contractsCommand, {"contracts", "put", path, "--base-version", "0"}) == 2);
  BOOST_TEST(printed("priority"));
  BOOST_TEST(printed("other"));
  BOOST_TEST(Requests.empty());
}

// Guards against reading commands that call another endpoint or drop fields.
BOOST_FIXTURE_TEST_CASE(ContractsAreListedReadAndCompared, CommandFixture) {
  json document = documentOf(4, contractOf(10));
  document["source"] = "node";
  Answers = {
      {200, R"({"contracts":[{"customer":"acme","version":4,"author":"ana",
                "time_ms":1769846400000,"change_id":"c9"}]})"},
      {200, document.dump()},
      {200,
       R"({"changes":[{"version":4,"author":"ana","time_ms":1769846400000,"change_id":"c9"}]})"},
      {200, document.dump()},
      {200, R"({"lines":["priority: 2 -> 3"]})"}};
  BOOST_TEST(run(contractsCommand, {"contracts", "list"}) == 0);
  BOOST_TEST(printed("acme      4        ana     2026-01-31 08:00:00  c9"));
  BOOST_TEST(run(contractsCommand, {"contracts", "get", "acme"}) == 0);
  BOOST_TEST(json::parse(Out.str())["version"] == 4);
  BOOST_TEST(Err.str().find("may be older") != std::string::npos);
  BOOST_TEST(run(contractsCommand, {"contracts", "history", "acme"}) == 0);
  BOOST_TEST(printed("4        ana     2026-01-31 08:00:00  c9"));
  BOOST_TEST(run(contractsCommand, {"contracts", "diff", file(contractOf(10, 3).dump())}) == 0);
  BOOST_TEST(Out.str() == "priority: 2 -> 3\n");
  const json sent = json::parse(Requests.at(4).Body);
  BOOST_TEST(sent["a"]["priority"] == 2);
  BOOST_TEST(sent["b"]["priority"] == 3);
}

BOOST_AUTO_TEST_SUITE_END()
