// Drives many nodes of the membership protocol in one process over a simulated network with a
// virtual clock. Use:
//   MembershipFleet fleet(320);
//   fleet.settle(30s);
#ifndef CHERVIL_TESTING_MEMBERSHIPFLEET_H
#define CHERVIL_TESTING_MEMBERSHIPFLEET_H

#include "membership/Membership.h"
#include "membership/Queries.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <variant>

namespace chervil::testing {

using namespace std::chrono_literals;

using membership::Effects;
using membership::Member;
using membership::MemberChange;
using membership::OutgoingMessage;
using message::MemberState;
using message::MemberUpdate;

/// Incarnation of the first nodes, in ms.
constexpr std::uint64_t Birth = 1764800000000;
using Ms = std::chrono::milliseconds;

inline std::size_t text(const std::string &s) { return s.size() + (s.size() < 32 ? 1 : 2); }

/// Size in msgpack: 9 bytes for times and incarnations, 1 to 3 for small numbers.
inline std::size_t bytesOf(const MemberUpdate &u) {
  return 1 + text(u.Id.Name) + 9 + text(u.Region) + text(u.DataCentre) + text(u.PeerAddress) +
         text(u.CallerAddress) + 1 + 3 + (u.LeaveBy == WallTime{} ? 1 : 9) + 2;
}

inline std::size_t bytesOf(const std::vector<MemberUpdate> &updates) {
  std::size_t n = 1;
  for (const auto &it : updates)
    n += bytesOf(it);
  return n;
}

/// Frame length, array header, type, number, document hash and digest, subject or target.
inline std::size_t bytesOf(const message::Message &m) {
  constexpr std::size_t header = 4 + 1 + 1 + 5 + 9 + 3 + 9;
  if (const auto *ping = std::get_if<message::Ping>(&m))
    return header + bytesOf(ping->Updates);
  if (const auto *ack = std::get_if<message::Ack>(&m))
    return header + text(ack->Subject.Name) + 9 + bytesOf(ack->Updates);
  if (const auto *exchange = std::get_if<message::MemberExchange>(&m))
    return 4 + 1 + 1 + 3 + 5 * exchange->Buckets.size() + bytesOf(exchange->Updates) + 2;
  const auto &request = std::get<message::PingRequest>(m);
  return header + text(request.Target.Name) + 9 + bytesOf(request.Updates);
}

inline std::size_t updatesIn(const message::Message &m) {
  if (const auto *ping = std::get_if<message::Ping>(&m))
    return ping->Updates.size();
  if (const auto *ack = std::get_if<message::Ack>(&m))
    return ack->Updates.size();
  if (const auto *exchange = std::get_if<message::MemberExchange>(&m))
    return exchange->Updates.size();
  return std::get<message::PingRequest>(m).Updates.size();
}

struct SimNode {
  membership::State Membership;
  std::size_t Region = 0;
  std::size_t Centre = 0;
  bool Running = true;
  Ms PausedUntil{0};
  std::size_t BytesSent = 0;
  std::size_t LargestMessage = 0;
  std::size_t MostUpdates = 0;
};

/// 3 regions and 10 data centres, nodes spread evenly; about 40 ms between regions.
class MembershipFleet {
public:
  explicit MembershipFleet(std::size_t n, std::uint64_t seed = 1) : Rng(seed) {
    for (std::size_t i = 0; i < n; ++i)
      add(i % Centres, Birth);
  }

  static constexpr std::size_t Centres = 10;
  Random Rng;
  std::vector<SimNode> Nodes;
  Ms Time{0};
  double Loss = 0;
  Ms ExtraDelay{0};
  /// True if messages between two regions are lost.
  std::function<bool(std::size_t, std::size_t)> Apart = [](auto, auto) { return false; };
  /// Called for each change seen by a node.
  std::function<void(std::size_t, const MemberChange &)> OnChange = [](auto, const auto &) {};

  Now now() const { return {TimePoint(Time), WallTime(Ms(Birth) + 1h + Time)}; }

  std::size_t add(std::size_t centre, std::uint64_t incarnation) {
    const std::size_t i = Nodes.size();
    const std::string number = std::to_string(10000 + i).substr(1);
    MemberUpdate u;
    u.Id = {"pamplona-" + number, incarnation};
    u.Region = "region-" + std::to_string(centre % 3);
    u.DataCentre = "centre-" + std::to_string(centre);
    u.PeerAddress = "10.100." + std::to_string(100 + i / 100) + "." + number + ":7400";
    u.CallerAddress = "10.100." + std::to_string(100 + i / 100) + "." + number + ":8400";
    std::vector<std::string> seeds;
    for (std::size_t s = 0; s < std::min<std::size_t>(Nodes.size(), 3); ++s)
      seeds.push_back(membership::self(Nodes[s].Membership).Info.PeerAddress);
    if (Nodes.empty())
      seeds.push_back("10.100.100.0001:7400");
    Addresses[u.PeerAddress] = i;
    Nodes.push_back({membership::start(u, seeds, {}, now()), centre % 3, centre});
    return i;
  }

  void run(Ms duration) {
    const Ms end = Time + duration;
    for (; Time < end; Time += Step) {
      while (!Wire.empty() && Wire.top().At <= Time) {
        const Delivery it = Wire.top();
        Wire.pop();
        deliver(it);
      }
      for (std::size_t i = 0; i < Nodes.size(); ++i)
        if (active(i) && (Time / Step + static_cast<long>(i)) % (50ms / Step) == 0)
          apply(i, timed(i, [&] { return membership::tick(Nodes[i].Membership, now(), Rng); }));
    }
  }

  /// Node whose functions are timed, and the time spent in them.
  std::size_t TimedNode = static_cast<std::size_t>(-1);
  std::chrono::nanoseconds Spent{0};

  bool active(std::size_t i) const { return Nodes[i].Running && Nodes[i].PausedUntil <= Time; }

  void apply(std::size_t from, const Effects &effects) {
    SimNode &node = Nodes[from];
    for (const MemberChange &it : effects.Changes)
      OnChange(from, it);
    for (const OutgoingMessage &it : effects.Messages) {
      const std::size_t n = bytesOf(it.Body);
      node.BytesSent += n;
      node.LargestMessage = std::max(node.LargestMessage, n);
      node.MostUpdates = std::max(node.MostUpdates, updatesIn(it.Body));
      const auto to = Addresses.find(it.Address);
      if (to == Addresses.end() || std::bernoulli_distribution(Loss)(Rng) ||
          Apart(node.Region, Nodes[to->second].Region))
        continue;
      Ms delay = node.Region == Nodes[to->second].Region ? 5ms : 40ms;
      if (ExtraDelay > 0ms)
        delay += Ms(std::uniform_int_distribution<long>(0, ExtraDelay.count())(Rng));
      Wire.push(
          {Time + delay, ++Sent, from, to->second, std::make_shared<message::Message>(it.Body)});
    }
  }

  /// Running nodes that hold every running node as `state`, and no other node.
  std::size_t agreeing(MemberState state = MemberState::Alive) const {
    std::size_t running = 0;
    for (const auto &it : Nodes)
      running += it.Running ? 1 : 0;
    std::size_t agree = 0;
    for (const auto &node : Nodes) {
      if (!node.Running)
        continue;
      const auto list = membership::live(node.Membership);
      const bool same =
          std::ranges::all_of(list, [state](const Member *it) { return it->Info.State == state; });
      agree += list.size() == running && same ? 1 : 0;
    }
    return agree;
  }

  /// Runs until all running nodes agree; the time this took.
  Ms settle(Ms limit) {
    std::size_t running = 0;
    for (const auto &it : Nodes)
      running += it.Running ? 1 : 0;
    const Ms begin = Time;
    while (Time - begin < limit && agreeing() != running)
      run(250ms);
    return Time - begin;
  }

  NodeId id(std::size_t i) const { return membership::self(Nodes[i].Membership).Info.Id; }

private:
  template <typename F> Effects timed(std::size_t node, F call) {
    if (node != TimedNode)
      return call();
    const auto begin = std::chrono::steady_clock::now();
    Effects effects = call();
    Spent += std::chrono::steady_clock::now() - begin;
    return effects;
  }

  static constexpr Ms Step{5};
  struct Delivery {
    Ms At;
    std::uint64_t Order;
    std::size_t From;
    std::size_t To;
    std::shared_ptr<message::Message> Body;
    bool operator<(const Delivery &other) const {
      return At != other.At ? At > other.At : Order > other.Order;
    }
  };
  std::map<std::string, std::size_t> Addresses;
  std::priority_queue<Delivery> Wire;
  std::uint64_t Sent = 0;

  void deliver(const Delivery &it) {
    SimNode &node = Nodes[it.To];
    if (!node.Running)
      return;
    if (node.PausedUntil > Time) {
      Wire.push({node.PausedUntil, it.Order, it.From, it.To, it.Body});
      return;
    }
    const MemberUpdate sender = membership::self(Nodes[it.From].Membership).Info;
    if (const auto *ping = std::get_if<message::Ping>(it.Body.get()))
      apply(it.To, timed(it.To, [&] {
              return membership::onPing(node.Membership, sender.Id, sender.PeerAddress, *ping,
                                        now(), Rng);
            }));
    else if (const auto *ack = std::get_if<message::Ack>(it.Body.get()))
      apply(it.To, timed(it.To, [&] {
              return membership::onAck(node.Membership, sender.Id, sender.PeerAddress, *ack, now(),
                                       Rng);
            }));
    else if (const auto *exchange = std::get_if<message::MemberExchange>(it.Body.get()))
      apply(it.To, timed(it.To, [&] {
              return membership::onExchange(node.Membership, sender.Id, sender.PeerAddress,
                                            *exchange, now());
            }));
    else
      apply(it.To, timed(it.To, [&] {
              return membership::onPingRequest(node.Membership, sender.Id, sender.PeerAddress,
                                               std::get<message::PingRequest>(*it.Body), now(),
                                               Rng);
            }));
  }
};

} // namespace chervil::testing

#endif
