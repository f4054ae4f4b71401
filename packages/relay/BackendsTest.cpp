#include "relay/Backends.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace chervil;
using namespace chervil::relay;
using namespace std::chrono_literals;

namespace {

const Now Start{TimePoint(1000s), WallTime(1000s)};

BackendEntry entry(const std::string &id, const char *service = "m") {
  return {.Id = id, .Service = service, .Address = "10.0.0.1:1", .DataCentre = "a", .Slots = 8};
}

std::vector<BackendEntry> entries(unsigned n) {
  std::vector<BackendEntry> out;
  for (unsigned i = 0; i < n; ++i)
    out.push_back(entry("e" + std::to_string(i)));
  return out;
}

Now later(Duration d) { return {Start.Steady + d, Start.Wall}; }

/// A long prefix that other prompts share, and a part of the request itself.
const std::vector<PromptPart> PromptWithSharedPrefix = {{1, 13000}, {2, 1000}};

SelectionCriteria criteriaWithSharedPrefix() {
  SelectionCriteria criteria;
  criteria.Service = "m";
  criteria.Prompt = PromptWithSharedPrefix;
  return criteria;
}

/// Reports a start as leaving, from a node whose list is not known.
bool markLeaving(Backends &backends, const char *id, std::uint64_t born) {
  return applyDeparture(backends, {id, born, message::DepartureKind::Announced, "peer", 0ms, 0, 0},
                        Start);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayBackends)

// Guards against removing a server whose entry expired while the store was unavailable, and against
// keeping it after the store is back.
BOOST_AUTO_TEST_CASE(MissingServersAreKeptUntilTheStoreIsBack) {
  Backends b;
  applyList(b, entries(2), false, Start);
  applyList(b, entries(1), true, later(1s));
  BOOST_TEST(!b.Servers.at("e1").Leaving);
  const auto leaving = applyList(b, entries(1), false, later(3s));
  BOOST_REQUIRE(leaving.size() == 1U);
  BOOST_TEST(leaving[0].Backend == "e1");
  BOOST_TEST(!b.Servers.contains("e1"));
}

// Guards against a report about an earlier start that excludes a server after its restart.
BOOST_AUTO_TEST_CASE(RestartUnderTheSameIdIsANewServer) {
  Backends b;
  auto list = entries(1);
  applyList(b, list, false, Start);
  BOOST_TEST(markLeaving(b, "e0", 0));
  applyList(b, list, false, later(1s));
  BOOST_TEST(b.Servers.at("e0").Leaving);
  list[0].Born = 5;
  applyList(b, list, false, later(2s));
  BOOST_TEST(!b.Servers.at("e0").Leaving);
}

// Guards against sending requests to a server that a peer reported as leaving before this node
// listed it, and against late reports about an earlier start.
BOOST_AUTO_TEST_CASE(LeavingReportsBeforeTheListCount) {
  Backends b;
  BOOST_TEST(markLeaving(b, "e0", 5));
  BOOST_TEST(!markLeaving(b, "e0", 5));
  auto list = entries(2);
  list[0].Born = list[1].Born = 5;
  applyList(b, list, false, later(1s), {1, 1});
  BOOST_TEST(b.Servers.at("e0").Leaving);
  BOOST_TEST(!markLeaving(b, "e1", 4));
  BOOST_TEST(!b.Servers.at("e1").Leaving);
  list[0].Born = 6;
  applyList(b, list, false, later(2s), {1, 2});
  BOOST_TEST(!b.Servers.at("e0").Leaving);
}

// Guards against spreading prompts with a shared prefix over servers without need, and against
// sending them all to one overloaded server.
BOOST_AUTO_TEST_CASE(SharedPrefixStaysOnOneServerUntilItIsLoaded) {
  Backends b;
  applyList(b, entries(6), false, Start);
  const SelectionCriteria criteria = criteriaWithSharedPrefix();
  Random rng(1);
  const std::string home = chooseServer(b, criteria, Start, rng).Server->Entry.Id;
  for (int i = 0; i < 20; ++i) {
    const Choice it = chooseServer(b, criteria, Start, rng);
    BOOST_TEST(it.Server->Entry.Id == home);
    BOOST_TEST(it.PrefixSource == nullptr);
    onRequestSent(b, home, it.PendingTokens);
    onFirstByte(b, home, it.PendingTokens, PromptWithSharedPrefix);
    onRequestEnded(b, home, it.PendingTokens, true);
  }
  std::map<std::string, unsigned> chosen;
  for (int i = 0; i < 60; ++i) {
    const Choice it = chooseServer(b, criteria, Start, rng);
    ++chosen[it.Server->Entry.Id];
    // A server without the prefix fetches it from the one that caches it.
    if (it.Server->Entry.Id != home)
      BOOST_TEST(it.PrefixSource->Entry.Id == home);
    onRequestSent(b, it.Server->Entry.Id, it.PendingTokens);
  }
  BOOST_TEST(chosen.size() == 6U);
  // The loads differ by at most the tokens of the shared prefix and of one request.
  double least = 1e9;
  double most = 0;
  for (const auto &[id, it] : b.Servers) {
    least = std::min(least, it.PendingTokens);
    most = std::max(most, it.PendingTokens);
  }
  BOOST_TEST(most - least <= 13'000 + 1000);
}

// Guards against reading a shared prefix again although a server used by another node caches it,
// also after one of its holders is gone.
BOOST_AUTO_TEST_CASE(PrefixesCachedForOtherNodesAreUsed) {
  Backends b;
  applyList(b, entries(6), false, Start);
  const SelectionCriteria criteria = criteriaWithSharedPrefix();
  Random rng(1);
  const Choice cold = chooseServer(b, criteria, Start, rng);
  BOOST_TEST(cold.PendingTokens == 14000);
  BOOST_TEST(cold.PrefixSource == nullptr);
  std::vector<std::string> others;
  for (const auto &[id, it] : b.Servers)
    if (id != cold.Server->Entry.Id && others.size() < 2)
      others.push_back(id);
  mergeHolders(b.PrefixCache, {{{others[0], {1}}, {others[1], {1}}}});
  const Choice warm = chooseServer(b, criteria, Start, rng);
  BOOST_TEST(warm.PendingTokens == 1000);
  BOOST_TEST(warm.PrefixSource == nullptr);
  auto list = entries(6);
  std::erase_if(list, [&](const BackendEntry &it) { return it.Id == others[0]; });
  applyList(b, list, false, later(1s));
  BOOST_TEST(chooseServer(b, criteria, later(1s), rng).Server->Entry.Id == others[1]);
  onRequestSent(b, others[1], 50'000);
  const Choice fetched = chooseServer(b, criteria, later(1s), rng);
  BOOST_TEST(fetched.Server->Entry.Id != others[1]);
  BOOST_REQUIRE(fetched.PrefixSource != nullptr);
  BOOST_TEST(fetched.PrefixSource->Entry.Id == others[1]);
}

// Guards against dropping holders reported by other nodes when the first list arrives, and against
// holders that lost their cache in a restart.
BOOST_AUTO_TEST_CASE(HoldersOutliveTheFirstListButNotARestart) {
  Backends b;
  mergeHolders(b.PrefixCache, {{{"e0", {1}}}});
  auto list = entries(6);
  applyList(b, list, false, Start);
  const SelectionCriteria criteria = criteriaWithSharedPrefix();
  Random rng(1);
  const Choice warm = chooseServer(b, criteria, Start, rng);
  BOOST_TEST(warm.Server->Entry.Id == "e0");
  BOOST_TEST(warm.PendingTokens == 1000);
  list[0].Born += 1;
  applyList(b, list, false, later(1s));
  BOOST_TEST(chooseServer(b, criteria, later(1s), rng).PendingTokens == 14000);
}

// Guards against all nodes choosing the same server because each sees only its own load.
BOOST_AUTO_TEST_CASE(PeerLoadsCountUntilTheyExpire) {
  Backends b;
  applyList(b, entries(3), false, Start);
  const SelectionCriteria criteria = criteriaWithSharedPrefix();
  Random rng(1);
  const std::string home = chooseServer(b, criteria, Start, rng).Server->Entry.Id;
  applyReport(b.Peers, "n2", {{{home, 100'000, 3}}}, Start);
  BOOST_TEST(chooseServer(b, criteria, Start, rng).Server->Entry.Id != home);
  applyReport(b.Peers, "n3", {}, later(5s));
  BOOST_TEST(chooseServer(b, criteria, later(5s), rng).Server->Entry.Id == home);
}

// Guards against load that stays counted after its requests have ended.
BOOST_AUTO_TEST_CASE(EndedRequestsLeaveNoLoad) {
  Backends b;
  applyList(b, entries(1), false, Start);
  const std::vector<PromptPart> prompt = {{1, 100}, {2, 1000}};
  onRequestSent(b, "e0", 1000);
  onRequestSent(b, "e0", 500);
  onFirstByte(b, "e0", 1000, prompt);
  BOOST_TEST(localLoads(b).Loads.at(0).PendingTokens == 500U);
  BOOST_TEST(localLoads(b).Loads.at(0).Running == 1U);
  onRequestEnded(b, "e0", 1000, true);
  onRequestEnded(b, "e0", 500, false);
  BOOST_TEST(localLoads(b).Loads.empty());
  BOOST_TEST(b.Servers.at("e0").PendingTokens == 0);
}

// Guards against sending requests to a failing server, and against choosing none if all fail.
BOOST_AUTO_TEST_CASE(FailingServersAreAvoidedUnlessAllFail) {
  Backends b;
  applyList(b, entries(2), false, Start);
  Random rng(1);
  for (int i = 0; i < 3; ++i)
    recordOutcome(b, "e0", SendOutcome::Broken, Start);
  SelectionCriteria criteria;
  criteria.Service = "m";
  for (int i = 0; i < 10; ++i)
    BOOST_TEST(chooseServer(b, criteria, Start, rng).Server->Entry.Id == "e1");
  for (int i = 0; i < 3; ++i)
    recordOutcome(b, "e1", SendOutcome::Broken, Start);
  BOOST_TEST((chooseServer(b, criteria, Start, rng).Server != nullptr));
}

// Guards against a server that stays avoided, paused or limited after what ends that: a success, or
// another start.
BOOST_AUTO_TEST_CASE(InferredStateEndsWithASuccessOrAnotherStart) {
  Backends b;
  auto list = entries(1);
  list[0].Born = 5;
  applyList(b, list, false, Start);
  Backend &it = b.Servers.at("e0");
  for (int i = 0; i < 3; ++i)
    recordOutcome(b, "e0", SendOutcome::Broken, Start);
  BOOST_TEST((it.AvoidUntil > Start.Steady));
  recordOutcome(b, "e0", SendOutcome::Success, Start);
  BOOST_TEST((it.AvoidUntil <= Start.Steady));
  for (const std::uint64_t born : {6U, 4U}) {
    for (int i = 0; i < 3; ++i)
      recordOutcome(b, "e0", SendOutcome::Broken, Start);
    pauseServer(b, "e0", 60s, Start);
    it.Limit = RequestLimit{1.0, Start.Steady, NoticeSource::Answer};
    list[0].Born = born;
    applyList(b, list, false, Start);
    BOOST_TEST((it.AvoidUntil <= Start.Steady));
    BOOST_TEST((it.NothingUntil <= Start.Steady));
    BOOST_TEST(!it.Limit.has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()
