#include "ctl/admin/CommandFixture.h"

using namespace chervil;
using namespace chervil::ctl;
using nlohmann::json;

BOOST_AUTO_TEST_SUITE(OperatorCommands)

// Guards against a request without the token, and against a table that lacks what operators need.
BOOST_FIXTURE_TEST_CASE(ListsArePrintedAsTables, CommandFixture) {
  Answers = {{200, R"({"nodes":[{"name":"n1","incarnation":5,"data_centre":"bilbao",
    "peer_address":"127.0.0.1:1","caller_address":"127.0.0.1:2","state":"leaving","load":7,
    "leave_by_ms":1769846400000}]})"},
             {200, R"({"backends":[{"name":"e1","address":"127.0.0.1:3","targets":["redactor","x"],
    "zone":"b1","class":"gpu-l","state":"live","slow_factor":1.25,"running":3,"slots":8,
    "ejected":true}]})"},
             {200, R"({"version":3,"shards":[{"shard":0,"owner":{"name":"n1","incarnation":5},
    "standby":null,"epoch":9,"ready":false,"lost_since_ms":null}]})"}};
  BOOST_TEST(run(nodesCommand, {"nodes"}) == 0);
  BOOST_TEST(Out.str() ==
             "NAME  INCARNATION  DATA CENTRE  PEERS        CALLERS      STATE    LOAD%  LEAVE BY\n"
             "n1    5            bilbao       127.0.0.1:1  127.0.0.1:2  leaving  7      "
             "2026-01-31 08:00:00\n");
  BOOST_TEST(run(backendsCommand, {"backends"}) == 0);
  BOOST_TEST(
      printed("e1    127.0.0.1:3  redactor,x  b1    gpu-l  live   3        8      1.25  yes"));
  BOOST_TEST(run(shardsCommand, {"shards"}) == 0);
  BOOST_TEST(printed("0      n1     -        9      no     -"));
  BOOST_TEST(Requests[0].Path == "/admin/v1/nodes");
  BOOST_TEST(net::header(Requests[0], "authorization").value_or("") == "Bearer admin-token");
}

// Guards against machine output that is mixed with text.
BOOST_FIXTURE_TEST_CASE(JsonIsTheAnswerItself, CommandFixture) {
  Answers = {{200, R"({"nodes":[]})"}};
  BOOST_TEST(run(nodesCommand, {"nodes", "--json"}) == 0);
  BOOST_TEST(json::parse(Out.str()) == json::parse(R"({"nodes":[]})"));
}

// Guards against a command that gives up although another node answers.
BOOST_FIXTURE_TEST_CASE(TheNextAddressIsTried, CommandFixture) {
  Answers = {{200, R"({"nodes":[]})"}};
  // Nothing listens on port 1 of the loopback address.
  BOOST_TEST(run(nodesCommand, {"nodes"}, "127.0.0.1:1," + Address) == 0);
  BOOST_TEST(run(nodesCommand, {"nodes"}, "127.0.0.1:1") == 3);
  BOOST_TEST(printed("no node answered"));
}

// Guards against exit statuses that differ from --help.
BOOST_FIXTURE_TEST_CASE(ExitStatusesAreAsDocumented, CommandFixture) {
  Answers = {{401, refusal("unauthorised")}};
  BOOST_TEST(run(nodesCommand, {"nodes"}) == 1);
  BOOST_TEST(printed("unauthorised"));
  BOOST_TEST(run(nodesCommand, {"nodes", "--unknown"}) == 2);
  BOOST_TEST(run(nodesCommand, {"nodes", "--admin", "no-address"}, "none") == 2);
  BOOST_TEST(run(contractsCommand, {"contracts"}) == 2);
  const std::map<std::string, int (*)(const std::vector<std::string> &, Streams)> commands = {
      {"nodes", nodesCommand},        {"backends", backendsCommand}, {"shards", shardsCommand},
      {"drain", drainCommand},        {"explain", explainCommand},   {"request", requestCommand},
      {"contracts", contractsCommand}};
  for (const auto &[name, command] : commands) {
    BOOST_TEST(run(command, {name, "--help"}, "none") == 0);
    BOOST_TEST(printed("Exit status: 0 done, 1 refused or conflict, 2 wrong usage"));
  }
  Answers = {{500, "garbage"}};
  BOOST_TEST(run(nodesCommand, {"nodes"}) == 1);
}

// Guards against a drain that reaches another node than the one meant.
BOOST_FIXTURE_TEST_CASE(DrainGoesToOneNode, CommandFixture) {
  Answers = {{200, R"({"node":"n1","leave_by_ms":1769846400000})"}};
  BOOST_TEST(run(drainCommand, {"drain"}, "127.0.0.1:1," + Address) == 2);
  BOOST_TEST(Requests.empty());
  BOOST_TEST(run(drainCommand, {"drain", "--drain-ms", "x"}) == 2);
  BOOST_TEST(run(drainCommand, {"drain", "--drain-ms", "86400001"}) == 2);
  BOOST_TEST(run(drainCommand, {"drain", "--drain-ms", "500"}) == 0);
  BOOST_TEST(Out.str() == "n1 leaves by 2026-01-31 08:00:00 UTC\n");
  BOOST_TEST(json::parse(Requests.at(0).Body) == json({{"drain_ms", 500}}));
}

// Guards against a body or a customer's name that is altered on the way.
BOOST_FIXTURE_TEST_CASE(ExplainPrintsCandidates, CommandFixture) {
  Answers = {{200, R"({"node":"n1","target":"redactor","expected_tokens":200.0,
    "result":{"backend":"e1","expected_ms":12.5,"wait_ms":0},
    "candidates":[{"backend":"e1","expected_ms":12.5,"prefix_tokens":64,"slow_factor":1.0,
                   "running":2,"rejected":""}]})"}};
  BOOST_TEST(run(explainCommand, {"explain", file("{\"model\":1}"), "--customer", "a&b"}) == 0);
  BOOST_TEST(printed("choice: e1, expected 12.5 ms"));
  BOOST_TEST(printed("e1        12.5         64"));
  BOOST_TEST(Requests.at(0).Body == "{\"model\":1}");
  BOOST_TEST(net::query(Requests.at(0), "customer").value_or("") == "a&b");
  BOOST_TEST(run(explainCommand, {"explain", "no-such-file"}) == 2);
}

// Guards against a request that is reported as not known although one of the nodes holds it.
BOOST_FIXTURE_TEST_CASE(RequestAsksEveryNode, CommandFixture) {
  Answers = {{404, refusal("request_not_found")},
             {200, R"({"node":"n2","record":{"state":"finished","attempt":1},"mark":null,
                       "execution":null})"}};
  BOOST_TEST(run(requestCommand, {"request", "acme", "k/1"}, Address + "," + Address) == 0);
  BOOST_TEST(printed("finished"));
  BOOST_TEST(Requests.at(1).Path == "/admin/v1/requests/acme/k/1");
  Answers = {{404, refusal("request_not_found")}};
  BOOST_TEST(run(requestCommand, {"request", "acme", "k"}, "127.0.0.1:1," + Address) == 1);
  BOOST_TEST(run(requestCommand, {"request", "acme", "k"}, "127.0.0.1:1") == 3);
}

// Guards against a fault that is not shown with file, line, key and accepted range.
BOOST_FIXTURE_TEST_CASE(CheckPrintsEveryFault, CommandFixture) {
  const std::string path = file("[node]\nname = n1\nunknown = 1\n[shards]\ncount = 0\n");
  BOOST_TEST(run(checkCommand, {"check", path}, "none") == 2);
  BOOST_TEST(printed(path + ":3: [node] unknown: "));
  BOOST_TEST(printed(path + ":5: [shards] count: "));
  BOOST_TEST(printed("accepted: integer 1..4096"));
  BOOST_TEST(run(checkCommand, {"check", path, "--json"}, "none") == 2);
  BOOST_TEST(json::parse(Out.str())["faults"][0]["line"] == 3);
  const std::string contract = file(R"({"customer":"acme","priority":"x","other":1})");
  BOOST_TEST(run(checkCommand, {"check", "--contract", contract}, "none") == 2);
  BOOST_TEST(printed(contract + ": priority"));
  BOOST_TEST(printed(contract + ": other"));
  const std::string document = file(R"({"version":1,"contract":{"customer":"acme","other":1}})");
  BOOST_TEST(run(checkCommand, {"check", "--contract", document}, "none") == 2);
  BOOST_TEST(printed(document + ": other"));
  BOOST_TEST(!printed(document + ": version"));
  BOOST_TEST(run(checkCommand, {"check", "no-such-file"}, "none") == 2);
  BOOST_TEST(run(checkCommand, {"check"}, "none") == 2);
  BOOST_TEST(run(checkCommand, {"check", "--help"}, "none") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
