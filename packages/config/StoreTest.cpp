#include "config/Store.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace chervil;
using namespace chervil::config;
using namespace std::chrono_literals;

namespace {

Now at(Duration time) { return {TimePoint(time), WallTime{}}; }

// Simulated nodes. Each message arrives one step after it was sent, or is lost with probability
// Loss.
struct Fleet {
  std::vector<NodeId> Ids;
  std::vector<Store> Stores;
  std::vector<std::pair<NodeId, Send>> InFlight;
  Random Rng;
  double Loss = 0;
  std::size_t Bytes = 0;

  Fleet(std::size_t n, std::uint64_t seed) : Stores(n), Rng(seed) {
    for (std::size_t i = 0; i < n; ++i)
      Ids.push_back({"n" + std::to_string(i), 1});
  }

  std::size_t indexOf(const NodeId &id) const {
    return static_cast<std::size_t>(std::stoul(id.Name.substr(1)));
  }

  void send(std::size_t from, Effects effects) {
    for (Send &it : effects.Sends) {
      if (const auto *update = std::get_if<message::DocUpdate>(&it.Body))
        Bytes += update->Name.size() + update->Body.size() + 16;
      else if (const auto *digest = std::get_if<message::DocDigest>(&it.Body))
        for (const auto &version : digest->Versions)
          Bytes += version.Name.size() + 9;
      if (std::uniform_real_distribution<double>(0, 1)(Rng) >= Loss)
        InFlight.emplace_back(Ids[from], std::move(it));
    }
  }

  void deliver(const Now &now) {
    std::vector<std::pair<NodeId, Send>> arriving;
    arriving.swap(InFlight);
    for (const auto &[from, message] : arriving) {
      const std::size_t i = indexOf(message.To);
      if (const auto *update = std::get_if<message::DocUpdate>(&message.Body))
        send(i, onUpdate(Stores[i], *update, now));
      else if (const auto *digest = std::get_if<message::DocDigest>(&message.Body))
        send(i, onDigest(Stores[i], from, *digest, now));
      else if (const auto *request = std::get_if<message::DocRequest>(&message.Body))
        send(i, onRequest(Stores[i], from, *request));
    }
  }

  // One dissemination round, in which a fifth of the nodes also compare hashes with a random
  // member.
  void step(int round) {
    const Now now = at(round * DisseminationInterval);
    deliver(now);
    for (std::size_t i = 0; i < Stores.size(); ++i) {
      std::vector<NodeId> others;
      if (!Stores[i].UpdatedNames.empty())
        std::ranges::copy_if(Ids, std::back_inserter(others),
                             [&](const NodeId &id) { return id != Ids[i]; });
      send(i, disseminate(Stores[i], others, Rng, now));
      if (i % 5 != static_cast<std::size_t>(round) % 5)
        continue;
      const std::size_t peer =
          std::uniform_int_distribution<std::size_t>(0, Stores.size() - 1)(Rng);
      if (peer == i || std::uniform_real_distribution<double>(0, 1)(Rng) < Loss)
        continue;
      send(i, onPeerHash(Stores[i], Ids[peer], docsHash(Stores[peer]), now));
    }
  }

  bool allHave(const std::string &name, std::uint64_t version) const {
    return std::ranges::all_of(Stores, [&](const Store &store) {
      const Document *document = find(store, name);
      return document != nullptr && document->Version >= version;
    });
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Stores)

// Guards against a store that replaces a document with an older version, or whose hash depends on
// the order of updates.
BOOST_AUTO_TEST_CASE(VersionsOnlyRise) {
  BOOST_TEST(rc::check("versions only rise", [](std::vector<std::pair<std::uint8_t, std::uint8_t>>
                                                    updates) {
    Store a;
    Store b;
    std::map<std::string, std::uint64_t> highest;
    for (const auto &[name, version] : updates) {
      const message::DocUpdate update{"d" + std::to_string(name % 4), version,
                                      std::to_string(version)};
      const auto before = highest[update.Name];
      const auto applied = applyUpdate(a, update, at(0s));
      RC_ASSERT(applied.has_value() == (version > before));
      if (applied) {
        RC_ASSERT(applied->From == before);
        RC_ASSERT(applied->To == version);
      }
      highest[update.Name] = std::max<std::uint64_t>(before, version);
    }
    std::ranges::reverse(updates);
    for (const auto &[name, version] : updates)
      applyUpdate(b, {"d" + std::to_string(name % 4), version, std::to_string(version)}, at(0s));
    RC_ASSERT(docsHash(a) == docsHash(b));
    for (const auto &[name, version] : highest)
      if (version > 0)
        RC_ASSERT(find(a, name)->Body == std::to_string(version));
  }));
}

// Guards against a digest exchange after which two stores still differ.
BOOST_AUTO_TEST_CASE(DigestExchangeMakesStoresEqual) {
  BOOST_TEST(rc::check("digest exchange", [] {
    Fleet fleet(2, 1);
    for (Store &store : fleet.Stores) {
      const int n = *rc::gen::inRange(0, 12);
      for (int i = 0; i < n; ++i) {
        const auto version = *rc::gen::inRange<std::uint64_t>(1, 5);
        applyUpdate(store, {"d" + std::to_string(*rc::gen::inRange(0, 8)), version, "x"}, at(0s));
      }
    }
    fleet.send(0, onPeerHash(fleet.Stores[0], fleet.Ids[1], docsHash(fleet.Stores[1]), at(10s)));
    fleet.Stores[0].UpdatedNames.clear();
    fleet.send(0, disseminate(fleet.Stores[0], {}, fleet.Rng, at(11s)));
    for (int i = 0; i < 3; ++i)
      fleet.deliver(at(10s));
    RC_ASSERT(docsHash(fleet.Stores[0]) == docsHash(fleet.Stores[1]));
  }));
}

// Guards against a document that takes 6 s or more to reach all of 320 nodes, and against traffic
// of 3 KB/s per node or more at 28,000 changes a day.
BOOST_AUTO_TEST_CASE(NewDocumentReachesAllNodes) {
  constexpr std::size_t nodes = 320;
  constexpr std::size_t bodySize = 1500;
  for (const double loss : {0.0, 0.05}) {
    int worst = 0;
    std::size_t bytes = 0;
    constexpr int runs = 20;
    for (int run = 0; run < runs; ++run) {
      Fleet fleet(nodes, static_cast<std::uint64_t>(run));
      fleet.Loss = loss;
      for (Store &store : fleet.Stores) {
        for (int i = 0; i < 300; ++i)
          applyUpdate(store, {"config/contracts/customer-" + std::to_string(i), 1, ""}, at(-1min));
        store.UpdatedNames.clear();
      }
      fleet.send(0,
                 onUpdate(fleet.Stores[0],
                          {"config/contracts/customer-7", 2, std::string(bodySize, 'x')}, at(0s)));
      int round = 0;
      while (!fleet.allHave("config/contracts/customer-7", 2) && round < 100)
        fleet.step(round++);
      worst = std::max(worst, round);
      for (int i = 0; i < 10; ++i)
        fleet.step(round++);
      bytes += fleet.Bytes;
    }
    const double perChange = static_cast<double>(bytes) / runs / nodes;
    const double perSecond = perChange * 28000 / 86400;
    BOOST_TEST_MESSAGE(
        "loss " << loss << ": worst time to all of " << nodes << " nodes " << worst * 200 << " ms; "
                << perChange << " bytes per change and node, " << perSecond << " bytes/s per node");
    BOOST_TEST(worst * DisseminationInterval.count() < Duration(6s).count());
    BOOST_TEST(perSecond < 3000);
  }
}

// Guards against an empty node that does not receive all documents, and against unbounded answers
// to its digest.
BOOST_AUTO_TEST_CASE(EmptyNodeCatchesUpInBoundedAnswers) {
  Fleet fleet(2, 3);
  for (int i = 0; i < 40; ++i)
    applyUpdate(fleet.Stores[0], {"d" + std::to_string(i), 1, std::string(100000, 'x')}, at(-1min));
  fleet.Stores[0].UpdatedNames.clear();
  // Large documents are offered; the answer to a request for all of them is bounded.
  const Effects offer = onDigest(fleet.Stores[0], fleet.Ids[1], {}, at(0s));
  BOOST_REQUIRE(offer.Sends.size() == 1U);
  const auto *digest = std::get_if<message::DocDigest>(&offer.Sends[0].Body);
  BOOST_REQUIRE(digest != nullptr);
  Store empty;
  const Effects request = onDigest(empty, fleet.Ids[0], *digest, at(0s));
  BOOST_REQUIRE(request.Sends.size() == 1U);
  const auto &names = std::get<message::DocRequest>(request.Sends[0].Body);
  BOOST_TEST(names.Names.size() == 40U);
  BOOST_TEST(onRequest(fleet.Stores[0], fleet.Ids[1], names).Sends.size() == 10U);
  fleet.Stores[1].UpdatedNames.clear();
  int rounds = 0;
  while (docsHash(fleet.Stores[0]) != docsHash(fleet.Stores[1]) && rounds < 200)
    fleet.step(rounds++);
  BOOST_TEST_MESSAGE("4 MB of documents in " << rounds * 200 << " ms");
  BOOST_TEST(rounds < 100);
}

// Guards against an unlimited number of digests while stores differ, and against none at all while
// documents keep changing.
BOOST_AUTO_TEST_CASE(DigestsAreLimited) {
  Store store;
  Random rng(1);
  const NodeId peer{"p", 1};
  int digests = 0;
  for (int i = 0; i < 100; ++i) {
    applyUpdate(store, {"d", static_cast<std::uint64_t>(i + 1), ""}, at(i * 100ms));
    digests += static_cast<int>(onPeerHash(store, peer, 1, at(i * 100ms)).Sends.size());
    digests += static_cast<int>(disseminate(store, {}, rng, at(i * 100ms)).Sends.size());
  }
  BOOST_TEST(digests >= 3);
  BOOST_TEST(digests <= 5);
  BOOST_TEST(onPeerHash(store, peer, docsHash(store), at(1h)).Sends.empty());
}

// Guards against accepting a document without a valid version.
BOOST_AUTO_TEST_CASE(UpdateTakesItsVersionFromTheBody) {
  const auto update = makeDocUpdate("shards/map", R"({"version":12,"shards":[]})");
  BOOST_REQUIRE(update.has_value());
  BOOST_TEST(update->Version == 12U);
  for (const char *body : {"", "{}", R"({"version":0})", R"({"version":"2"})"})
    BOOST_TEST(!makeDocUpdate("shards/map", body).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
