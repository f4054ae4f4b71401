#include "testing/standin/ServiceServer.h"
#include "testing/standin/HttpFixture.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>

using namespace chervil;
using namespace chervil::standin;

namespace {

struct Fixture : HttpFixture {
  std::unique_ptr<ServiceServer> Engine = std::move(*startService(EventLoop, {}));

  Fixture() { Url = "http://127.0.0.1:" + std::to_string(net::port(*Engine->Http)); }

  Answer book(const std::string &key) {
    return call("POST", "/bookings", R"({"id":"m7"})", {{"Idempotency-Key", key}});
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ServiceServers)

// Guards against a stand-in that hides doubled work by removing duplicates itself.
BOOST_FIXTURE_TEST_CASE(EachCallIsCounted, Fixture) {
  const Answer a = book("k1");
  BOOST_TEST(a.End.Status == 201);
  BOOST_TEST(book("k1").Body.at("reference") == a.Body.at("reference"));
  book("k2");
  const Json counts = call("GET", "/control/executions").Body.at("executions");
  BOOST_TEST(counts.at("k1") == 2);
  BOOST_TEST(counts.at("k2") == 1);
  BOOST_TEST(call("POST", "/bookings", R"({"id":"m7"})").End.Status == 400);
  BOOST_TEST(call("GET", "/status/7").Body.at("id") == "7");
  BOOST_TEST(call("GET", "/balance/7").Body.at("balance").is_number());
}

// Guards against faults that execute the work on the wrong side of the lost answer.
BOOST_FIXTURE_TEST_CASE(DroppedAnswersAreCountedByWorkDone, Fixture) {
  call("POST", "/control/fail?mode=drop_before&count=1");
  BOOST_TEST((book("k1").End.Failure == net::HttpFailure::Broken));
  call("POST", "/control/fail?mode=drop_after&count=1");
  BOOST_TEST((book("k2").End.Failure == net::HttpFailure::Broken));
  BOOST_TEST(book("k3").End.Status == 201);
  const Json counts = call("GET", "/control/executions").Body.at("executions");
  BOOST_TEST(!counts.contains("k1"));
  BOOST_TEST(counts.at("k2") == 1);
}

// Guards against counts that are lost with the process, which would hide doubled work.
BOOST_AUTO_TEST_CASE(CountsOutliveTheProcess) {
  const std::string file = "executions_test.log";
  std::remove(file.c_str());
  Executions first = loadExecutions(file);
  countExecution(first, "k1");
  Executions second = loadExecutions(file);
  countExecution(second, "k1");
  BOOST_TEST(loadExecutions(file).ByKey.at("k1") == 2U);
  std::remove(file.c_str());
}

BOOST_AUTO_TEST_SUITE_END()
