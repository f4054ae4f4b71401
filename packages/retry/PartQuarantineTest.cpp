#include "retry/PartQuarantine.h"

#include "base/Random.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace chervil;
using namespace chervil::retry;
using namespace std::chrono_literals;

namespace {

using Ms = std::chrono::milliseconds;

Now at(Duration time) { return {TimePoint(time + 1000s), WallTime{}}; }

constexpr std::uint64_t Shared = 100;
constexpr std::uint64_t Bad = 1;
constexpr std::uint64_t OtherBad = 2;

void crash(PartQuarantine &q, std::uint64_t server, Parts parts, Duration time) {
  recordDeath(q, server, {std::move(parts)}, at(time));
}

void succeed(PartQuarantine &q, const Parts &parts, Duration time) {
  recordSuccess(q, parts, at(time));
}

bool refuses(const PartQuarantine &q, const Parts &parts) { return isQuarantined(q, parts); }

} // namespace

BOOST_AUTO_TEST_SUITE(PartQuarantines)

// Guards against a crashing part that is sent to servers without end because no two requests with
// it are alike.
BOOST_AUTO_TEST_CASE(ThreeCrashesQuarantineAPart) {
  PartQuarantine q;
  succeed(q, {Shared}, 0s);
  crash(q, 1, {Shared, Bad}, 1s);
  crash(q, 2, {Shared, Bad}, 2s);
  BOOST_TEST(!refuses(q, {Shared, Bad}));
  crash(q, 3, {Shared, Bad}, 3s);
  BOOST_TEST(refuses(q, {Bad}));
  BOOST_TEST(refuses(q, {Shared, Bad}));
  BOOST_TEST(!refuses(q, {Shared}));
  prune(q, at(3s + EvidenceTime + 1s));
  BOOST_TEST(!refuses(q, {Bad}));
  BOOST_TEST(q.Deaths.empty());
}

// Guards against refusing sound requests because of a part that they share with crashing ones
// which was not in an answer before.
BOOST_AUTO_TEST_CASE(ASharedPartIsClearedByItsNextSuccess) {
  PartQuarantine q;
  for (std::uint64_t server = 1; server <= 3; ++server)
    crash(q, server, {Shared, Bad}, server * 1s);
  // The evidence does not distinguish the two; only requests with both are refused.
  BOOST_TEST(refuses(q, {Shared, Bad}));
  BOOST_TEST(!refuses(q, {Shared}));
  BOOST_TEST(!refuses(q, {Bad, 7}));
  succeed(q, {Shared}, 4s);
  BOOST_TEST(refuses(q, {Bad, 7}));
  BOOST_TEST(!refuses(q, {Shared}));
}

// Guards against blaming the part that two crashing ones have in common.
BOOST_AUTO_TEST_CASE(TwoCrashingPartsDoNotConvictTheirSharedPart) {
  PartQuarantine q;
  succeed(q, {Shared}, 0s);
  for (std::uint64_t i = 1; i <= 3; ++i) {
    crash(q, 2 * i, {Shared, Bad}, i * 1s);
    crash(q, 2 * i + 1, {Shared, OtherBad}, i * 1s + 400ms);
  }
  BOOST_TEST(refuses(q, {Bad}));
  BOOST_TEST(refuses(q, {OtherBad}));
  BOOST_TEST(!refuses(q, {Shared}));
}

// Guards against suspicion of popular parts when servers end together for another reason.
BOOST_AUTO_TEST_CASE(ServersThatEndTogetherConvictNothing) {
  PartQuarantine q;
  for (std::uint64_t server = 1; server <= 40; ++server)
    crash(q, server, {Shared, server % 4}, 1s + Ms(server % 3));
  BOOST_TEST(q.Quarantined.empty());
}

// Guards against a part that stays refused after it was repaired.
BOOST_AUTO_TEST_CASE(ASuccessEndsTheQuarantine) {
  PartQuarantine q;
  for (std::uint64_t server = 1; server <= 3; ++server)
    crash(q, server, {Bad}, server * 1s);
  BOOST_TEST(refuses(q, {Bad}));
  succeed(q, {Bad}, 20s);
  BOOST_TEST(!refuses(q, {Bad}));
}

// Guards against a sound part that stays refused because nothing with it is sent any more.
BOOST_AUTO_TEST_CASE(AQuarantinedPartIsTriedAgainLater) {
  PartQuarantine q;
  for (std::uint64_t server = 1; server <= 3; ++server)
    crash(q, server, {Bad}, server * 1s);
  const Parts prompt{Bad, 7};
  BOOST_TEST(!isProbeDue(q, prompt, at(30s)));
  BOOST_TEST(isProbeDue(q, prompt, at(33s)));
  crash(q, 4, {Bad}, 34s);
  BOOST_TEST(!isProbeDue(q, prompt, at(90s)));
  BOOST_TEST(isProbeDue(q, prompt, at(94s)));
}

// Guards against a part that was sound and begins to crash servers later.
BOOST_AUTO_TEST_CASE(AProvenPartIsQuarantinedLater) {
  PartQuarantine q;
  succeed(q, {Bad}, 0s);
  for (std::uint64_t server = 1; server <= CrashesOfProvenPart; ++server) {
    BOOST_TEST(!refuses(q, {Bad}));
    crash(q, server, {Bad}, server * 1s);
  }
  BOOST_TEST(refuses(q, {Bad}));
}

// Guards against counting the observations of several nodes of one crash as several crashes, and
// against unbounded evidence.
BOOST_AUTO_TEST_CASE(EvidenceIsMergedAndBounded) {
  PartQuarantine a;
  PartQuarantine b;
  const auto report = recordDeath(a, 1, {{Shared, Bad}}, at(1s));
  BOOST_TEST(!isEmpty(mergeEvidence(b, report, at(1s + 20ms))));
  BOOST_TEST(isEmpty(mergeEvidence(b, report, at(1s + 30ms))));
  recordDeath(b, 1, {{Bad, 9}}, at(1s + 40ms));
  recordDeath(b, 2, {{Bad, 9}}, at(2s));
  BOOST_TEST(b.Deaths.size() == 2U);
  BOOST_TEST(!refuses(b, {Bad}));
  for (std::uint64_t i = 0; i < 5000; ++i)
    recordDeath(b, 10 + i,
                {{9 * i, 9 * i + 1, 9 * i + 2, 9 * i + 3, 9 * i + 4, 9 * i + 5, 9 * i + 6,
                  9 * i + 7, 9 * i + 8}},
                at(3s + Ms(i)));
  BOOST_TEST(b.Deaths.size() <= MaxDeaths);
  BOOST_TEST(b.SuspectParts.size() <= (MaxDeaths * MaxSuspects + 1) * MaxParts);
  prune(b, at(3s + EvidenceTime + 10s));
  BOOST_TEST(b.SuspectParts.empty());
}

// Guards against a node that starts and knows nothing of what the others have found.
BOOST_AUTO_TEST_CASE(EvidenceConvincesANodeThatHasJustStarted) {
  PartQuarantine a;
  succeed(a, {Shared}, 0s);
  for (std::uint64_t server = 1; server <= 4; ++server)
    crash(a, server, {Shared, Bad}, server * 1s);
  PartQuarantine b;
  BOOST_TEST(!isEmpty(mergeEvidence(b, evidenceOfQuarantines(a, at(9s)), at(9s + 5ms))));
  BOOST_TEST(refuses(b, {Shared, Bad}));
  BOOST_TEST(!refuses(b, {Shared}));
  BOOST_TEST(isEmpty(evidenceOfQuarantines(PartQuarantine{}, at(9s))));
}

namespace {

/// Nodes before servers. Requests arrive at random nodes and are sent to random servers; those with
/// a crashing part end their server as its answer begins, together with the other answers there.
struct LoadedFleet {
  struct Running {
    std::size_t Node = 0;
    Parts Prompt;
    int BeginsMs = 0;
    bool Began = false;
    bool WentOn = false;
  };
  struct Server {
    std::uint64_t Start = 0;
    int UpMs = 0;
    std::vector<Running> Requests;
  };
  struct Letter {
    std::size_t To = 0;
    message::PartEvidence Body;
  };

  Random Rng;
  std::vector<PartQuarantine> Nodes;
  std::vector<Server> Servers;
  std::multimap<int, Letter> InFlight;
  std::vector<std::uint64_t> BadParts;
  int TimeMs = 0;
  std::uint64_t NextStart = 1;
  int Crashes = 0;
  int FifthCrashMs = -1;
  int SentLater = 0;
  struct Tally {
    int Sent = 0;
    int Refused = 0;
  };
  /// Sound requests by their first part.
  std::map<std::uint64_t, Tally> Sound;

  LoadedFleet(std::size_t nodes, std::size_t servers, std::uint64_t seed)
      : Rng(seed), Nodes(nodes), Servers(servers) {
    for (Server &it : Servers)
      it.Start = NextStart++;
  }

  std::size_t below(std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(Rng);
  }
  bool happens(double probability) { return std::bernoulli_distribution(probability)(Rng); }
  Now now() const { return at(Ms(TimeMs)); }

  bool isBad(const Parts &prompt) const {
    return std::ranges::any_of(
        BadParts, [&](std::uint64_t it) { return std::ranges::find(prompt, it) != prompt.end(); });
  }

  /// All other nodes of a small fleet, four random ones of a large one.
  void gossip(std::size_t from, const message::PartEvidence &body) {
    if (isEmpty(body))
      return;
    constexpr std::size_t smallFleet = 16;
    constexpr std::size_t fanout = 4;
    if (Nodes.size() <= smallFleet) {
      for (std::size_t i = 0; i < Nodes.size(); ++i)
        if (i != from)
          InFlight.emplace(TimeMs + 3, Letter{i, body});
      return;
    }
    for (std::size_t i = 0; i < fanout; ++i)
      InFlight.emplace(TimeMs + 3, Letter{below(Nodes.size()), body});
  }

  void send(const Parts &prompt) {
    const std::size_t node = below(Nodes.size());
    const bool bad = isBad(prompt);
    const bool refused = isQuarantined(Nodes[node], prompt);
    if (!bad)
      ++(refused ? Sound[prompt.front()].Refused : Sound[prompt.front()].Sent);
    if (refused)
      return;
    Server &server = Servers[below(Servers.size())];
    if (server.UpMs > TimeMs)
      return;
    constexpr int contactMs = 3000;
    if (bad && FifthCrashMs >= 0 && TimeMs > FifthCrashMs + contactMs)
      ++SentLater;
    server.Requests.push_back({node, prompt, TimeMs + 50 + static_cast<int>(below(400))});
  }

  void end(Server &server) {
    for (const Running &it : server.Requests)
      if (it.Began && !it.WentOn)
        gossip(it.Node, recordDeath(Nodes[it.Node], server.Start, {it.Prompt}, now()));
    constexpr int restartMs = 3000;
    server = {NextStart++, TimeMs + restartMs, {}};
  }

  void run(Server &server) {
    constexpr int beginMs = 500;
    constexpr int longestMs = 3000;
    for (Running &it : server.Requests) {
      if (TimeMs < it.BeginsMs)
        continue;
      it.Began = true;
      if (isBad(it.Prompt)) {
        ++Crashes;
        FifthCrashMs = Crashes == 5 ? TimeMs : FifthCrashMs;
        end(server);
        return;
      }
      if (!it.WentOn && TimeMs - it.BeginsMs >= beginMs) {
        it.WentOn = true;
        gossip(it.Node, recordSuccess(Nodes[it.Node], it.Prompt, now()));
      }
    }
    std::erase_if(server.Requests,
                  [&](const Running &it) { return TimeMs - it.BeginsMs > longestMs; });
  }

  void step() {
    ++TimeMs;
    while (!InFlight.empty() && InFlight.begin()->first <= TimeMs) {
      const Letter it = std::move(InFlight.extract(InFlight.begin()).mapped());
      gossip(it.To, mergeEvidence(Nodes[it.To], it.Body, now()));
    }
    for (Server &it : Servers)
      run(it);
  }
};

struct LoadCase {
  std::size_t Nodes = 0;
  std::size_t Servers = 0;
  std::vector<std::uint64_t> BadParts;
  /// Servers that end for another reason, together, each second.
  std::size_t EndEachSecond = 0;
};

} // namespace

// Guards against crashes that go on after five, and against sound requests that are refused, also
// while servers end for other reasons. At most 2 and 4 in 100 of the subjects that are asked for
// four times or more may be starved; of those that share a part with crashing requests, half of the
// requests at least have to be sent.
BOOST_AUTO_TEST_CASE(CrashingPartsAreFoundUnderLoad) {
  const std::vector<LoadCase> cases = {
      {7, 18, {Bad}, 0},           {61, 60, {Bad}, 0}, {61, 20, {Bad, OtherBad}, 0},
      {9, 12, {Bad, OtherBad}, 2}, {7, 18, {Bad}, 6},  {9, 18, {}, 6}};
  constexpr std::uint64_t sharedParts = 180;
  constexpr std::uint64_t partsOfBadRequests = 3;
  constexpr double soundPerMs = 0.04;
  constexpr double badPerMs = 0.004;
  for (const LoadCase &it : cases)
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
      LoadedFleet fleet(it.Nodes, it.Servers, seed);
      fleet.BadParts = it.BadParts;
      while (fleet.TimeMs < 25'000) {
        fleet.step();
        const std::uint64_t shared = Shared + fleet.below(sharedParts);
        if (fleet.happens(soundPerMs))
          fleet.send({shared, shared + 1000});
        for (const std::uint64_t bad : it.BadParts)
          if (fleet.TimeMs > 4000 && fleet.happens(badPerMs))
            fleet.send({Shared + fleet.below(partsOfBadRequests), bad});
        if (fleet.TimeMs % 1000 == 0)
          for (std::size_t i = 0; i < it.EndEachSecond; ++i)
            fleet.end(fleet.Servers[fleet.below(it.Servers)]);
      }
      const std::string label = std::to_string(it.Nodes) + " nodes, " + std::to_string(it.Servers) +
                                " servers, seed " + std::to_string(seed);
      BOOST_TEST(fleet.SentLater <= 3, label << ": " << fleet.SentLater << " sent later");
      double asked = 0;
      double starved = 0;
      for (const auto &[part, tally] : fleet.Sound) {
        asked += tally.Sent + tally.Refused >= 4 ? 1 : 0;
        starved += tally.Refused >= 4 && tally.Sent == 0 ? 1 : 0;
        if (part < Shared + partsOfBadRequests)
          BOOST_TEST(tally.Refused <= tally.Sent, label << ", part " << part);
      }
      BOOST_TEST(starved <= 2 + 0.04 * asked, label << ": " << starved << " of " << asked);
    }
}

BOOST_AUTO_TEST_SUITE_END()
