#include "contract/VersionedContract.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;

namespace {

Contract terms() {
  Contract c;
  c.Customer = "sul-cartas";
  c.Keys = {"plain-token-for-test"};
  c.Limits = {10, 1000, 20};
  return c;
}

ContractChange change(int i) {
  return {0, "change-" + std::to_string(i), "ana", WallTime(std::chrono::milliseconds(1000 + i))};
}

} // namespace

BOOST_AUTO_TEST_SUITE(VersionedContracts)

// Guards against a history that loses an entry a writer needs, or grows without bound.
BOOST_AUTO_TEST_CASE(HistoryIsBoundedAndReadsBack) {
  VersionedContract doc = succeed(nullptr, change(1), terms());
  BOOST_TEST(doc.Change.Version == 1U);
  for (int i = 2; i <= 40; ++i)
    doc = succeed(&doc, change(i), terms());
  BOOST_TEST(doc.Change.Version == 40U);
  BOOST_TEST(doc.History.size() == HistoryLength);
  const auto back = parseVersionedContract(serialise(doc));
  BOOST_REQUIRE(back.has_value());
  BOOST_TEST((*back == doc));
  BOOST_REQUIRE(findChange(doc, "change-8") != nullptr);
  BOOST_TEST(findChange(doc, "change-8")->Version == 8U);
  BOOST_TEST(findChange(doc, "change-7") == nullptr);
  BOOST_TEST(findVersion(doc, 40)->Id == "change-40");
  BOOST_TEST(findVersion(doc, 8)->Id == "change-8");
  BOOST_TEST(findVersion(doc, 7) == nullptr);
}

// Guards against storing a document whose history would mislead a writer.
BOOST_AUTO_TEST_CASE(FaultsNameThePath) {
  VersionedContract doc = succeed(nullptr, change(1), terms());
  doc = succeed(&doc, change(2), terms());
  doc.History[0].Version = 2;
  auto result = parseVersionedContract(serialise(doc));
  BOOST_REQUIRE(!result.has_value());
  BOOST_TEST(result.error().Message == "history[0].version: expected an integer below 2");
  doc.History[0].Version = 1;
  doc.Terms.Limits.Streams = 0;
  result = parseVersionedContract(serialise(doc));
  BOOST_REQUIRE(!result.has_value());
  BOOST_TEST(result.error().Message ==
             "contract.limits.streams: expected an integer from 1 to 1000000");
  BOOST_TEST(!parseVersionedContract("{}").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
