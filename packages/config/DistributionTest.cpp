// Plays the distribution of a configuration over nodes with links of limited bandwidth.
#include "config/Store.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace chervil;
using namespace chervil::config;
using namespace std::chrono_literals;

namespace {

using Ms = std::chrono::milliseconds;

constexpr const char *Name = "operators/configuration";

struct Arrival {
  std::size_t To = 0;
  NodeId From;
  message::Message Body;
};

/// Nodes whose messages share their links: each passes the sender's link, then the receiver's. The
/// first Sources nodes watch the store and have fast links.
struct LinkedFleet {
  static constexpr std::size_t Sources = 8;
  static constexpr double SlowBytesPerMs = 1250;
  static constexpr double FastBytesPerMs = 25000;
  static constexpr int TickMs = 100;
  static constexpr int ProbeMs = 500;

  Random Rng;
  std::vector<Store> Stores;
  std::vector<NodeId> Ids;
  std::vector<bool> Dead;
  std::vector<double> UplinkFree;
  std::vector<double> DownlinkFree;
  std::vector<std::size_t> BytesReceived;
  std::multimap<double, Arrival> InFlight;
  int TimeMs = 0;

  LinkedFleet(std::size_t n, std::uint64_t seed, double deadShare = 0)
      : Rng(seed), Stores(n), Dead(n), UplinkFree(n), DownlinkFree(n), BytesReceived(n) {
    for (std::size_t i = 0; i < n; ++i)
      Ids.push_back({"n" + std::to_string(i), 1});
    for (std::size_t i = Sources; i < n; ++i)
      Dead[i] = std::bernoulli_distribution(deadShare)(Rng);
    for (std::size_t i = 0; i < n; ++i) {
      applyUpdate(Stores[i], {Name, 1, "x"}, now());
      Stores[i].UpdatedNames.clear();
    }
  }

  Now now() const { return {TimePoint(Ms(TimeMs)), WallTime{}}; }

  static double linkOf(std::size_t i) { return i < Sources ? FastBytesPerMs : SlowBytesPerMs; }

  void send(std::size_t from, std::size_t to, message::Message body) {
    constexpr double overhead = 100;
    constexpr double latencyMs = 2;
    const auto *update = std::get_if<message::DocUpdate>(&body);
    const double bytes = overhead + (update == nullptr ? 0 : double(update->Body.size()));
    const double sent = std::max(UplinkFree[from], double(TimeMs)) + bytes / linkOf(from);
    UplinkFree[from] = sent;
    const double arrived = std::max(DownlinkFree[to], sent + latencyMs) + bytes / linkOf(to);
    DownlinkFree[to] = arrived;
    BytesReceived[to] += static_cast<std::size_t>(bytes);
    InFlight.emplace(arrived, Arrival{to, Ids[from], std::move(body)});
  }

  void carryOut(std::size_t from, Effects effects) {
    for (Send &it : effects.Sends)
      send(from, std::stoul(it.To.Name.substr(1)), std::move(it.Body));
  }

  void deliver(const Arrival &it) {
    Store &store = Stores[it.To];
    if (Dead[it.To])
      return;
    if (const auto *update = std::get_if<message::DocUpdate>(&it.Body))
      carryOut(it.To, onUpdate(store, *update, now()));
    else if (const auto *digest = std::get_if<message::DocDigest>(&it.Body))
      carryOut(it.To, onDigest(store, it.From, *digest, now()));
    else if (const auto *request = std::get_if<message::DocRequest>(&it.Body))
      carryOut(it.To, onRequest(store, it.From, *request));
    else if (const auto *status = std::get_if<message::ConfigurationStatus>(&it.Body))
      noteVersion(store, Name, status->Version, it.From);
  }

  /// The nodes that watch the store learn a version and announce it.
  void publish(std::uint64_t version, std::size_t bodySize) {
    for (std::size_t i = 0; i < Sources; ++i) {
      carryOut(i, onUpdate(Stores[i], {Name, version, std::string(bodySize, 'x')}, now()));
      for (std::size_t to = 0; to < Stores.size(); ++to)
        if (to != i)
          send(i, to, message::ConfigurationStatus{version, Ms(0)});
    }
  }

  void tick(std::size_t i) {
    std::vector<NodeId> others;
    std::ranges::copy_if(Ids, std::back_inserter(others),
                         [&](const NodeId &id) { return id != Ids[i]; });
    carryOut(i, disseminate(Stores[i], others, Rng, now()));
  }

  void probe(std::size_t i) {
    const auto peer = std::uniform_int_distribution<std::size_t>(0, Stores.size() - 1)(Rng);
    if (peer != i && !Dead[peer])
      carryOut(i, onPeerHash(Stores[i], Ids[peer], docsHash(Stores[peer]), now()));
  }

  /// One millisecond.
  void step() {
    ++TimeMs;
    while (!InFlight.empty() && InFlight.begin()->first <= TimeMs) {
      const Arrival it = std::move(InFlight.extract(InFlight.begin()).mapped());
      deliver(it);
    }
    for (std::size_t i = 0; i < Stores.size(); ++i) {
      const int phase = TimeMs + static_cast<int>(i) * 37;
      if (!Dead[i] && phase % TickMs == 0)
        tick(i);
      if (!Dead[i] && phase % ProbeMs == 0)
        probe(i);
    }
  }

  std::uint64_t lowestVersion() const {
    std::uint64_t lowest = ~std::uint64_t{0};
    for (std::size_t i = 0; i < Stores.size(); ++i)
      if (!Dead[i])
        lowest = std::min(lowest, find(Stores[i], Name)->Version);
    return lowest;
  }
};

/// Publishes `count` versions, `gap` ms apart, and returns the longest time after which a version
/// or a later one was held by all nodes.
int longestDelayMs(LinkedFleet &fleet, std::uint64_t count, int gap, std::size_t bodySize) {
  std::vector<int> published;
  std::uint64_t reached = 1;
  int longest = 0;
  constexpr int longestRun = 60'000;
  while (reached < count + 1 && fleet.TimeMs < longestRun) {
    if (published.size() < count && fleet.TimeMs >= gap * static_cast<int>(published.size())) {
      published.push_back(fleet.TimeMs);
      fleet.publish(published.size() + 1, bodySize);
    }
    fleet.step();
    for (const std::uint64_t lowest = fleet.lowestVersion(); reached < lowest; ++reached)
      longest = std::max(longest, fleet.TimeMs - published[reached - 1]);
  }
  return reached < count + 1 ? longestRun : longest;
}

// Time in which a version has to be in force on a fleet of 61 nodes.
constexpr int ApplyMs = 3000;
constexpr std::size_t FleetSize = 61;

} // namespace

BOOST_AUTO_TEST_SUITE(Distribution)

// Guards against a version that reaches some nodes late because nodes that would have forwarded it
// have just died.
BOOST_AUTO_TEST_CASE(AVersionIsInTimeThoughNodesHaveDied) {
  for (const double deadShare : {0.0, 0.2, 0.4})
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      LinkedFleet fleet(FleetSize, seed, deadShare);
      BOOST_TEST(longestDelayMs(fleet, 1, 1, 10'000) <= ApplyMs, "seed " << seed);
    }
}

// Guards against versions of a large configuration that follow each other more quickly than the
// links of small nodes can carry copies of each.
BOOST_AUTO_TEST_CASE(VersionsOfALargeConfigurationAreInTime) {
  for (const std::size_t bodySize : {400'000, 800'000})
    for (std::uint64_t seed = 0; seed < 3; ++seed) {
      LinkedFleet fleet(FleetSize, seed);
      BOOST_TEST(longestDelayMs(fleet, 13, 330, bodySize) <= ApplyMs,
                 "seed " << seed << ", " << bodySize << " bytes");
      const double seconds = fleet.TimeMs / 1000.0;
      const double allowed = seconds * double(RequestBytesPerSecond) + 2.0 * double(bodySize);
      for (std::size_t i = LinkedFleet::Sources; i < FleetSize; ++i)
        BOOST_TEST(double(fleet.BytesReceived[i]) <= allowed, "node " << i << ", seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
