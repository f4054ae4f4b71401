// Simulation of nodes and their limit home in one process, for the tests of this package.
#ifndef CHERVIL_LIMITS_TESTFLEET_H
#define CHERVIL_LIMITS_TESTFLEET_H

#include "base/Random.h"
#include "limits/LimitHome.h"
#include "limits/NodeLimits.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace chervil::limits::test {

/// Simulated time per step.
inline constexpr Duration Step = std::chrono::milliseconds(10);

inline Now at(TimePoint time) { return {time, WallTime{}}; }

/// An admitted request until its end.
struct Running {
  std::size_t Node = 0;
  std::string Customer;
  double Estimate = 0;
  double Tokens = 0;
  TimePoint End{};
};

/// A report or grant on its way between two nodes.
struct InFlight {
  TimePoint Arrival{};
  std::size_t From = 0;
  std::size_t To = 0;
  message::DemandReport Report;
  message::ShareGrant Grant;
  bool IsGrant = false;
};

/// Node 0 is the initial home and node 1 its standby.
struct TestFleet {
  Random Rng;
  std::map<std::string, ContractLimits> Contracts;
  std::vector<NodeLimits> Nodes;
  std::vector<LimitHome> Homes;
  std::size_t HomeNode = 0;
  std::size_t Standby = 1;
  std::uint64_t Epoch = 1;
  /// Nodes of the other side of a network partition; they reach each other only.
  std::set<std::size_t> Isolated;
  std::vector<InFlight> InFlightMessages;
  std::vector<Running> RunningRequests;
  TimePoint Time{std::chrono::seconds(100)};
  /// Admitted requests and estimated tokens, and running requests, per customer and step.
  std::map<std::string, std::vector<double>> Requests;
  std::map<std::string, std::vector<double>> Tokens;
  std::map<std::string, std::vector<std::uint32_t>> Streams;

  TestFleet(std::size_t n, std::uint64_t seed, std::map<std::string, ContractLimits> contracts)
      : Rng(seed), Contracts(std::move(contracts)), Nodes(n), Homes(n) {
    for (NodeLimits &it : Nodes)
      setLiveNodes(it, n, at(Time));
    for (const auto &[name, contract] : Contracts)
      becomeHome(Homes[HomeNode], name, Epoch, at(Time));
  }

  LimitsLookup lookUpLimits() const {
    return [this](const std::string &name) {
      const auto it = Contracts.find(name);
      return it == Contracts.end() ? nullptr : &it->second;
    };
  }

  static NodeId id(std::size_t i) { return {std::to_string(i), 1}; }

  bool connected(std::size_t a, std::size_t b) const {
    return Isolated.contains(a) == Isolated.contains(b);
  }

  /// Promotes the standby. The old home is not notified and continues until its last confirmation
  /// expires.
  void promote(std::size_t newStandby) {
    HomeNode = Standby;
    Standby = newStandby;
    ++Epoch;
    for (const auto &[name, contract] : Contracts)
      becomeHome(Homes[HomeNode], name, Epoch, at(Time));
  }

  /// Offers one request; returns true if the node admits it.
  bool submit(std::size_t node, const std::string &customer, double tokens, Duration length) {
    const Admission a = admit(Nodes[node], customer, Contracts.at(customer), tokens, at(Time));
    if (a.Code != ResultCode::Ok)
      return false;
    RunningRequests.push_back({node, customer, tokens, tokens, Time + length});
    Requests[customer].back() += 1;
    Tokens[customer].back() += tokens;
    return true;
  }

  /// Offers Poisson arrivals of `rate` requests per second to one node for one step. Returns the
  /// number of admitted requests.
  std::size_t offer(std::size_t node, const std::string &customer, double rate, double tokens,
                    Duration length) {
    std::poisson_distribution<int> arrivals(rate * std::chrono::duration<double>(Step).count());
    std::size_t admitted = 0;
    for (int n = arrivals(Rng); n > 0; --n)
      admitted += submit(node, customer, tokens, length) ? 1 : 0;
    return admitted;
  }

  void sendMessage(InFlight message) {
    std::uniform_int_distribution<int> latency(1, 100);
    message.Arrival = Time + std::chrono::milliseconds(latency(Rng));
    // Connections preserve order.
    for (const InFlight &it : InFlightMessages)
      if (it.From == message.From && it.To == message.To)
        message.Arrival = std::max(message.Arrival, it.Arrival);
    InFlightMessages.push_back(std::move(message));
  }

  void deliver() {
    std::vector<InFlight> later;
    std::vector<InFlight> due;
    for (InFlight &it : InFlightMessages)
      if (connected(it.From, it.To))
        (it.Arrival <= Time ? due : later).push_back(std::move(it));
    InFlightMessages = std::move(later);
    for (const InFlight &it : due) {
      if (it.IsGrant)
        onShareGrant(Nodes[it.To], it.Grant, lookUpLimits(), at(Time));
      else
        onDemandReport(Homes[it.To], id(it.From), it.Report, at(Time));
    }
  }

  void settleFinished() {
    std::erase_if(RunningRequests, [this](const Running &it) {
      if (it.End > Time)
        return false;
      settle(Nodes[it.Node], it.Customer, Contracts.at(it.Customer), it.Estimate, it.Tokens,
             at(Time));
      return true;
    });
  }

  /// Advances the time by one step. Each node reports and grants at its own offset in the interval.
  void step() {
    Time += Step;
    for (const auto &[name, contract] : Contracts) {
      Requests[name].push_back(0);
      Tokens[name].push_back(0);
    }
    deliver();
    settleFinished();
    const auto ticks = static_cast<std::size_t>(ReportInterval / Step);
    const auto now = static_cast<std::size_t>(Time.time_since_epoch() / Step);
    for (std::size_t i = 0; i < Nodes.size(); ++i) {
      if ((now + 7 * i) % ticks != 0)
        continue;
      message::DemandReport r = makeDemandReport(Nodes[i], lookUpLimits(), at(Time));
      if (!r.Demands.empty())
        sendMessage({{}, i, HomeNode, std::move(r), {}, false});
      // The standby confirms the current epoch only.
      if (i == HomeNode && connected(HomeNode, Standby))
        for (const auto &[name, contract] : Contracts)
          confirmEpoch(Homes[i], name, Epoch, Time);
      for (HomeGrant &g : grantShares(Homes[i], lookUpLimits(), at(Time)))
        sendMessage({{}, i, std::stoul(g.To.Name), {}, std::move(g.Body), true});
    }
    for (const auto &[name, contract] : Contracts)
      Streams[name].push_back(static_cast<std::uint32_t>(
          std::ranges::count(RunningRequests, name, &Running::Customer)));
  }
};

/// Returns the maximum over all windows of the admitted amount minus rate x window, plus one step
/// at the rate.
inline double maxWindowAdmitted(const std::vector<double> &admitted, double rate) {
  const double perStep = rate * std::chrono::duration<double>(Step).count();
  double worst = 0;
  double sum = 0;
  for (const double it : admitted) {
    sum = std::max(0.0, sum + it - perStep);
    worst = std::max(worst, sum + perStep);
  }
  return worst;
}

} // namespace chervil::limits::test

#endif
