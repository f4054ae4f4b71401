#include "limits/NodeLimits.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::limits;
using namespace std::chrono_literals;

namespace {

constexpr const char *Customer = "sul-cartas";

Now at(Duration time) { return {TimePoint(time + 100s), WallTime{}}; }

ResultCode code(NodeLimits &node, const ContractLimits &limits, double tokens, Duration time) {
  return admit(node, Customer, limits, tokens, at(time)).Code;
}

} // namespace

BOOST_AUTO_TEST_SUITE(NodeLimiting)

// Guards against a rejection with the wrong result code or with a retry-after that is too short.
BOOST_AUTO_TEST_CASE(RejectionHasCodeAndRetryAfter) {
  const ContractLimits limits{10, 1000, 100};
  NodeLimits node;
  setLiveNodes(node, 1, at(0s));
  // The floor of a single node: 2 requests/s, 200 tokens/s, 20 streams.
  BOOST_TEST((code(node, limits, 50, 0s) == ResultCode::Ok));
  BOOST_TEST((code(node, limits, 50, 0s) == ResultCode::Ok));
  const Admission a = admit(node, Customer, limits, 50, at(0s));
  BOOST_TEST((a.Code == ResultCode::LimitRequests));
  BOOST_TEST((a.RetryAfter == 500ms));
  BOOST_TEST((code(node, limits, 50, 499ms) == ResultCode::LimitRequests));
  BOOST_TEST((code(node, limits, 50, 500ms) == ResultCode::Ok));
  // A request larger than the bucket is admitted when the bucket is full; the level is negative
  // afterwards.
  BOOST_TEST((code(node, limits, 1000, 10s) == ResultCode::Ok));
  const Admission b = admit(node, Customer, limits, 1, at(11s));
  BOOST_TEST((b.Code == ResultCode::LimitTokens));
  BOOST_TEST((b.RetryAfter > 3s && b.RetryAfter < 3100ms));
}

// Guards against running requests that are counted twice or never released.
BOOST_AUTO_TEST_CASE(StreamsAreCountedAndReleased) {
  const ContractLimits limits{1000, 1e6, 10};
  NodeLimits node;
  setLiveNodes(node, 1, at(0s));
  BOOST_TEST((code(node, limits, 1, 0s) == ResultCode::Ok));
  BOOST_TEST((code(node, limits, 1, 0s) == ResultCode::Ok));
  BOOST_TEST((code(node, limits, 1, 0s) == ResultCode::LimitConcurrency));
  settle(node, Customer, limits, 1, 1, at(0s));
  BOOST_TEST((code(node, limits, 1, 0s) == ResultCode::Ok));
}

// Guards against tokens beyond the estimate that are never charged, and against refunds that raise
// the level above the bucket capacity.
BOOST_AUTO_TEST_CASE(SettleChargesActualTokens) {
  const ContractLimits limits{1000, 1000, 100};
  NodeLimits node;
  setLiveNodes(node, 1, at(0s));
  BOOST_TEST((code(node, limits, 10, 0s) == ResultCode::Ok));
  settle(node, Customer, limits, 10, 600, at(0s));
  BOOST_TEST((code(node, limits, 10, 2s) == ResultCode::LimitTokens));
  BOOST_TEST((code(node, limits, 10, 2100ms) == ResultCode::Ok));
  settle(node, Customer, limits, 1e9, 0, at(2200ms));
  BOOST_TEST(node.Customers[Customer].Tokens.Level == 200.0);
}

// Guards against a share that is used after its lifetime, and against a floor that grows while a
// region is partitioned.
BOOST_AUTO_TEST_CASE(ShareExpiresAndFloorDoesNotGrow) {
  const ContractLimits limits{100, 1e6, 1000};
  const LimitsLookup lookUpLimits = [&](const std::string &) { return &limits; };
  NodeLimits node;
  setLiveNodes(node, 10, at(0s));
  onShareGrant(node, {{{Customer, 80, 8e5, 800, 3s}}}, lookUpLimits, at(0s));
  const auto admitted = [&](Duration from, Duration to) {
    int n = 0;
    for (Duration t = from; t < to; t += 1ms) {
      if (code(node, limits, 1, t) != ResultCode::Ok)
        continue;
      settle(node, Customer, limits, 1, 1, at(t));
      ++n;
    }
    return n;
  };
  const int withShare = admitted(0s, 2s);
  BOOST_TEST(withShare > 150);
  BOOST_TEST(withShare < 170);
  admitted(2s, 3s);
  setLiveNodes(node, 5, at(3s));
  const int floor = admitted(4s, 9s);
  // 2/s for 5 s, plus up to one burst.
  BOOST_TEST(floor >= 10);
  BOOST_TEST(floor <= 12);
  setLiveNodes(node, 5, at(2h + 1min));
  BOOST_TEST(node.FloorNodes == 5U);
}

// Guards against unbounded state, and against a report that omits a customer whose share the node
// still holds but no longer needs.
BOOST_AUTO_TEST_CASE(ReportsDemandAndDropsIdleCustomers) {
  const ContractLimits limits{100, 1e6, 1000};
  const LimitsLookup lookUpLimits = [&](const std::string &) { return &limits; };
  NodeLimits node;
  setLiveNodes(node, 1, at(0s));
  BOOST_TEST(makeDemandReport(node, lookUpLimits, at(0s)).Demands.empty());
  for (int i = 0; i < 50; ++i)
    code(node, limits, 10, 100ms);
  const auto first = makeDemandReport(node, lookUpLimits, at(500ms));
  BOOST_REQUIRE(first.Demands.size() == 1U);
  BOOST_TEST(first.Demands[0].RequestsPerSecond == 70.0);
  BOOST_TEST(first.Demands[0].TokensPerSecond == 700.0);
  BOOST_TEST(first.Demands[0].Streams == 20U);
  for (int i = 0; i < 20; ++i)
    settle(node, Customer, limits, 10, 10, at(600ms));
  for (int i = 2; i < 40; ++i)
    makeDemandReport(node, lookUpLimits, at(i * 500ms));
  onShareGrant(node, {{{Customer, 80, 8e5, 800, 3s}}}, lookUpLimits, at(20s));
  BOOST_TEST(makeDemandReport(node, lookUpLimits, at(20500ms)).Demands.size() == 1U);
  BOOST_TEST(makeDemandReport(node, lookUpLimits, at(24s)).Demands.empty());
  makeDemandReport(node, lookUpLimits, at(2min));
  BOOST_TEST(node.Customers.empty());
}

BOOST_AUTO_TEST_SUITE_END()
