#include "fleet/Fleet.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace chervil::fleet {
namespace {

double hoursOf(Duration d) { return std::chrono::duration<double, std::ratio<3600>>(d).count(); }
double secondsOf(Duration d) { return std::chrono::duration<double>(d).count(); }

OfferKey keyOf(const Vm &vm) { return {vm.Zone, vm.MachineClass, vm.Reclaimable}; }
bool isReclaimable(const OfferKey &key) { return std::get<2>(key); }

double priceOf(const State &state, const OfferKey &key) {
  const auto it = state.Offers.find(key);
  return it == state.Offers.end() ? 0 : it->second.Price;
}

/// True if the VM counts towards the target.
bool isActive(const VmState &vm) { return !vm.Info.Leaving && !vm.Released; }

struct VmCounts {
  std::uint32_t Reclaimable = 0;
  std::uint32_t OnDemand = 0;
  std::uint32_t Ready = 0;
  std::uint32_t PendingReclaimable = 0;
  std::uint32_t PendingOnDemand = 0;
  std::map<std::string, std::uint32_t> ByZone;
};

VmCounts countVms(const State &state) {
  VmCounts c;
  for (const auto &[name, vm] : state.Vms) {
    if (!isActive(vm))
      continue;
    ++(vm.Info.Reclaimable ? c.Reclaimable : c.OnDemand);
    c.Ready += vm.Loaded ? 1 : 0;
    ++c.ByZone[vm.Info.Zone];
  }
  for (const auto &[id, request] : state.PendingRequests) {
    ++(isReclaimable(request.Offer) ? c.PendingReclaimable : c.PendingOnDemand);
    ++c.ByZone[std::get<0>(request.Offer)];
  }
  return c;
}

std::uint32_t totalVms(const VmCounts &c) {
  return c.Reclaimable + c.OnDemand + c.PendingReclaimable + c.PendingOnDemand;
}

std::uint32_t reclaimableZones(const State &state) {
  std::set<std::string> zones;
  for (const auto &[key, offer] : state.Offers)
    if (isReclaimable(key))
      zones.insert(std::get<0>(key));
  return static_cast<std::uint32_t>(zones.size());
}

/// Price per hour including the expected cost of reclaims.
double expectedPrice(const State &state, const OfferKey &key, double price) {
  if (!isReclaimable(key))
    return price;
  return price * (1 + reclaimRate(state, key) * state.Config.ReclaimCostHours);
}

bool hasPendingRequest(const State &state, const OfferKey &key) {
  return std::ranges::any_of(state.PendingRequests,
                             [&](const auto &it) { return it.second.Offer == key; });
}

/// Returns the cheapest offer that may be requested now, or nullptr. A zone that already has its
/// share of the target is used only if no other zone is available, since the loss of a zone must
/// not exceed the reserve.
const OfferKey *bestOffer(const State &state, const VmCounts &c, bool reclaimable, const Now &now) {
  const std::uint32_t zones = std::max(1U, reclaimableZones(state));
  const std::uint32_t share = (targetVmCount(state) + zones - 1) / zones;
  const OfferKey *best = nullptr;
  std::pair<bool, double> bestRank;
  for (const auto &[key, offer] : state.Offers) {
    if (isReclaimable(key) != reclaimable || now.Steady < offer.NotBefore)
      continue;
    // After a refusal, only one request at a time probes whether VMs are granted again.
    if (offer.Backoff > Duration{0} && hasPendingRequest(state, key))
      continue;
    const auto zone = c.ByZone.find(std::get<0>(key));
    const bool zoneFull = zone != c.ByZone.end() && zone->second >= share;
    const std::pair rank{zoneFull, expectedPrice(state, key, offer.Price)};
    if (best == nullptr || rank < bestRank) {
      best = &key;
      bestRank = rank;
    }
  }
  return best;
}

/// Requests one VM. Returns false if the cost ceiling does not allow it.
bool requestVm(State &state, VmCounts &c, const OfferKey &key, const Now &now,
               std::vector<Effect> &effects) {
  if (costPerHour(state) + priceOf(state, key) > state.Config.CostCeiling)
    return false;
  const std::uint64_t id = state.NextRequestId++;
  state.PendingRequests[id] = {key, now.Steady};
  ++(isReclaimable(key) ? c.PendingReclaimable : c.PendingOnDemand);
  ++c.ByZone[std::get<0>(key)];
  effects.emplace_back(RequestVm{id, std::get<0>(key), std::get<1>(key), isReclaimable(key)});
  return true;
}

void releaseVm(VmState &vm, const Now &now, std::vector<Effect> &effects) {
  vm.Released = true;
  vm.ReleasedAt = now.Steady;
  effects.emplace_back(ReleaseVm{vm.Info.Name});
}

void backOff(State &state, const OfferKey &key, const Now &now, Random &rng) {
  OfferState &offer = state.Offers[key];
  const auto lo = state.Config.BackoffMin.count();
  const auto hi = std::max(lo, 3 * offer.Backoff.count());
  offer.Backoff = std::min(state.Config.BackoffMax,
                           Duration(std::uniform_int_distribution<Duration::rep>(lo, hi)(rng)));
  offer.NotBefore = now.Steady + offer.Backoff;
}

/// Returns the VM to release first, or nullptr: on-demand VMs before others, then those without a
/// loaded model, then the most expensive.
VmState *selectVmToRelease(State &state, bool onDemandOnly) {
  VmState *worst = nullptr;
  const auto rank = [&](const VmState &vm) {
    return std::tuple{!vm.Info.Reclaimable, !vm.Loaded,
                      expectedPrice(state, keyOf(vm.Info), vm.Price)};
  };
  for (auto &[name, vm] : state.Vms)
    if (isActive(vm) && (!onDemandOnly || !vm.Info.Reclaimable) &&
        (worst == nullptr || rank(vm) > rank(*worst)))
      worst = &vm;
  return worst;
}

void requestMissingVms(State &state, const Now &now, std::vector<Effect> &effects) {
  VmCounts c = countVms(state);
  const std::uint32_t want = targetVmCount(state);
  // On-demand VMs are temporary, so reclaimable VMs are requested as if there were no others.
  bool ceiling = false;
  while (c.Reclaimable + c.PendingReclaimable < want && !ceiling) {
    const OfferKey *key = bestOffer(state, c, true, now);
    if (key == nullptr)
      break;
    ceiling = !requestVm(state, c, *key, now, effects);
  }
  const bool missing = c.Reclaimable < want;
  if (missing && !state.BelowTarget)
    state.BelowTargetSince = now.Steady;
  state.BelowTarget = missing;
  // If the cost ceiling prevents reclaimable VMs, the on-demand VMs are released one at a time.
  if (ceiling && c.OnDemand > 0 && state.PendingRequests.empty()) {
    const bool releasePending =
        std::ranges::any_of(state.Vms, [](const auto &it) { return it.second.Released; });
    if (VmState *vm = selectVmToRelease(state, true); vm != nullptr && !releasePending)
      releaseVm(*vm, now, effects);
    return;
  }
  if (!missing || now.Steady - state.BelowTargetSince < state.Config.OnDemandDelay)
    return;
  while (totalVms(c) - c.PendingReclaimable < baseTargetVmCount(state)) {
    const OfferKey *key = bestOffer(state, c, false, now);
    if (key == nullptr || !requestVm(state, c, *key, now, effects))
      break;
  }
}

void releaseSurplusVms(State &state, const Now &now, std::vector<Effect> &effects) {
  const std::uint32_t want = targetVmCount(state);
  VmCounts c = countVms(state);
  // On-demand VMs are released as soon as reclaimable ones are ready to replace them.
  while (c.OnDemand > 0 && c.Ready > want) {
    VmState *vm = selectVmToRelease(state, true);
    c.Ready -= vm->Loaded ? 1 : 0;
    --c.OnDemand;
    releaseVm(*vm, now, effects);
  }
  const bool surplus = c.Reclaimable + c.OnDemand > want;
  if (surplus && !state.AboveTarget)
    state.AboveTargetSince = now.Steady;
  state.AboveTarget = surplus;
  // A late grant or a higher price can exceed the cost ceiling, which takes precedence over the
  // target.
  double cost = costPerHour(state);
  for (const auto &[name, vm] : state.Vms)
    cost -= vm.Released ? vm.Price : 0;
  while (cost > state.Config.CostCeiling) {
    VmState *vm = selectVmToRelease(state, false);
    if (vm == nullptr)
      return;
    cost -= vm->Price;
    releaseVm(*vm, now, effects);
  }
  if (!surplus || now.Steady - state.AboveTargetSince < state.Config.SurplusRetention)
    return;
  for (std::uint32_t n = c.Reclaimable + c.OnDemand; n > want; --n)
    if (VmState *vm = selectVmToRelease(state, false))
      releaseVm(*vm, now, effects);
}

double vmsFor(const State &state, const Demand &demand) {
  return demand.Slots / (state.Config.SlotsPerVm * state.Config.TargetLoad);
}

/// Assigns free VMs to the models with the largest deficit, and moves one VM from a model with a
/// surplus of at least one VM to a model with none or with a deficit of at least one.
void assignModels(State &state) {
  double needed = 0;
  for (const auto &[model, demand] : state.Demands)
    needed += vmsFor(state, demand);
  if (needed <= 0)
    return;
  std::map<std::string, double> deficit;
  double have = 0;
  for (const auto &[name, vm] : state.Vms)
    have += isActive(vm) ? 1 : 0;
  for (const auto &[model, demand] : state.Demands)
    if (demand.Slots > 0)
      deficit[model] = vmsFor(state, demand) * std::max(1.0, have / needed);
  std::map<std::string, int> assigned;
  for (auto &[name, vm] : state.Vms)
    if (isActive(vm) && !vm.Assigned.empty()) {
      deficit[vm.Assigned] -= 1;
      ++assigned[vm.Assigned];
    }
  const auto findLargestDeficit = [&] {
    // Models without any VM come first.
    return std::ranges::max_element(deficit, {}, [&](const auto &it) {
      const auto demand = state.Demands.find(it.first);
      const bool none =
          demand != state.Demands.end() && demand->second.Slots > 0 && assigned[it.first] == 0;
      return std::pair{none, it.second};
    });
  };
  for (auto &[name, vm] : state.Vms)
    if (isActive(vm) && vm.Listed && vm.Assigned.empty()) {
      const auto it = findLargestDeficit();
      vm.Assigned = it->first;
      it->second -= 1;
      ++assigned[it->first];
    }
  const auto largestDeficit = findLargestDeficit();
  if (largestDeficit->second < 1 && assigned[largestDeficit->first] > 0)
    return;
  const auto largestSurplus =
      std::ranges::min_element(deficit, {}, [](const auto &it) { return it.second; });
  if (largestSurplus->second > -1 || largestSurplus->first == largestDeficit->first)
    return;
  for (auto &[name, vm] : state.Vms)
    if (isActive(vm) && vm.Assigned == largestSurplus->first) {
      vm.Assigned = largestDeficit->first;
      vm.Loaded = vm.Acknowledged = false;
      vm.OrderId.clear();
      return;
    }
}

void sendOrders(State &state, const Now &now, std::vector<Effect> &effects) {
  for (auto &[name, vm] : state.Vms) {
    if (!isActive(vm) || !vm.Listed || vm.Assigned.empty() || vm.Loaded)
      continue;
    // The previous holder may not know that its lease ended. An engine that does not check fencing
    // tokens would obey both holders.
    if (!vm.Info.ChecksFencingToken &&
        now.Steady < state.PreviousLeaseEnd + state.Config.LeaseMargin)
      continue;
    if (!vm.OrderId.empty()) {
      if (!vm.Acknowledged && now.Steady - vm.OrderSent >= state.Config.OrderResendPeriod) {
        vm.OrderSent = now.Steady;
        effects.emplace_back(LoadModel{vm.OrderId, name, vm.Assigned, state.FencingToken});
      }
      continue;
    }
    const auto demand = state.Demands.find(vm.Assigned);
    const double bytes = demand == state.Demands.end() ? 0 : demand->second.WeightBytes;
    const double burst = state.Config.StoreBytesPerSecond * secondsOf(state.Config.StoreBurst);
    if (state.LoadBudgetBytes < std::min(bytes, burst))
      continue;
    state.LoadBudgetBytes -= bytes;
    vm.OrderId = name + "/" + vm.Assigned + "/" + std::to_string(++vm.Orders);
    vm.OrderSent = now.Steady;
    effects.emplace_back(LoadModel{vm.OrderId, name, vm.Assigned, state.FencingToken});
  }
}

void recordReclaim(State &state, VmState &vm) {
  if (vm.Info.Reclaimable && !vm.Released && !vm.Info.Leaving)
    state.Offers[keyOf(vm.Info)].Reclaims += 1;
  vm.Info.Leaving = true;
}

void markLoaded(const State &state, VmState &vm, bool warm, const Now &now) {
  if (vm.Loaded)
    return;
  vm.Loaded = true;
  vm.Acknowledged = true;
  vm.LoadedAt = warm ? now.Steady - state.Config.WarmUp : now.Steady;
}

} // namespace

State makeState(Options options) {
  State state;
  state.Config = options;
  return state;
}

void becomeHolder(State &state, std::uint64_t fencingToken, TimePoint previousLeaseEnd) {
  if (fencingToken <= state.HighestFencingToken)
    return;
  state.FencingToken = fencingToken;
  state.HighestFencingToken = fencingToken;
  state.PreviousLeaseEnd = previousLeaseEnd;
}

void onLeaseLost(State &state) { state.FencingToken = 0; }

void setOffers(State &state, std::span<const Offer> offers) {
  std::set<OfferKey> kept;
  for (const Offer &it : offers) {
    const OfferKey key{it.Zone, it.MachineClass, it.Reclaimable};
    kept.insert(key);
    state.Offers[key].Price = it.Price;
  }
  std::erase_if(state.Offers, [&](const auto &it) { return !kept.contains(it.first); });
  for (auto &[name, vm] : state.Vms)
    if (const auto it = state.Offers.find(keyOf(vm.Info)); it != state.Offers.end())
      vm.Price = it->second.Price;
}

void setDemand(State &state, std::span<const Demand> demands) {
  state.Demands.clear();
  for (const Demand &it : demands)
    state.Demands[it.Model] = it;
}

void updateVms(State &state, std::span<const Vm> list, const Now &now) {
  std::set<std::string> listed;
  for (const Vm &it : list) {
    listed.insert(it.Name);
    const auto [at, added] = state.Vms.try_emplace(it.Name);
    VmState &vm = at->second;
    const bool leaving = vm.Info.Leaving;
    if (added) {
      vm.FirstSeenAt = now.Steady;
      vm.Price = priceOf(state, keyOf(it));
      vm.Assigned = it.Model;
    }
    vm.Info = it;
    vm.Info.Leaving = leaving;
    vm.Listed = true;
    if (it.Leaving)
      recordReclaim(state, vm);
    if (!it.Model.empty() && it.Model == vm.Assigned)
      markLoaded(state, vm, added, now);
  }
  for (auto it = state.Vms.begin(); it != state.Vms.end();) {
    VmState &vm = it->second;
    // The VM list lags behind a grant.
    const bool awaitingList =
        !vm.Listed && now.Steady - vm.FirstSeenAt < state.Config.RequestTimeout;
    if (awaitingList || listed.contains(it->first)) {
      ++it;
      continue;
    }
    recordReclaim(state, vm);
    it = state.Vms.erase(it);
  }
}

void onVmLeaving(State &state, const std::string &vm, const Now &) {
  if (const auto it = state.Vms.find(vm); it != state.Vms.end())
    recordReclaim(state, it->second);
}

void onVmGranted(State &state, std::uint64_t requestId, const std::string &vm, const Now &now) {
  const auto it = state.PendingRequests.find(requestId);
  if (it == state.PendingRequests.end())
    return;
  const OfferKey key = it->second.Offer;
  state.PendingRequests.erase(it);
  if (const auto offer = state.Offers.find(key); offer != state.Offers.end()) {
    offer->second.Backoff = Duration{0};
    offer->second.NotBefore = TimePoint{};
  }
  const auto [at, added] = state.Vms.try_emplace(vm);
  if (!added)
    return;
  at->second.Info.Name = vm;
  std::tie(at->second.Info.Zone, at->second.Info.MachineClass, at->second.Info.Reclaimable) = key;
  at->second.Price = priceOf(state, key);
  at->second.FirstSeenAt = now.Steady;
}

void onVmRefused(State &state, std::uint64_t requestId, const Now &now, Random &rng) {
  const auto it = state.PendingRequests.find(requestId);
  if (it == state.PendingRequests.end())
    return;
  const OfferKey key = it->second.Offer;
  state.PendingRequests.erase(it);
  if (state.Offers.contains(key))
    backOff(state, key, now, rng);
}

void onLoadAcknowledged(State &state, const std::string &orderId, const Now &now) {
  for (auto &[name, vm] : state.Vms)
    if (!vm.OrderId.empty() && vm.OrderId == orderId)
      markLoaded(state, vm, false, now);
}

std::vector<Effect> tick(State &state, const Now &now, Random &rng) {
  std::vector<Effect> effects;
  const Duration passed = state.Ticked ? now.Steady - state.LastTick : Duration{0};
  state.LastTick = now.Steady;
  const double burst = state.Config.StoreBytesPerSecond * secondsOf(state.Config.StoreBurst);
  state.LoadBudgetBytes =
      state.Ticked ? std::min(burst, state.LoadBudgetBytes +
                                         secondsOf(passed) * state.Config.StoreBytesPerSecond)
                   : burst;
  state.Ticked = true;
  for (const auto &[name, vm] : state.Vms)
    if (const auto it = state.Offers.find(keyOf(vm.Info)); it != state.Offers.end())
      it->second.Hours += hoursOf(passed);
  if (state.FencingToken == 0)
    return effects;
  std::vector<std::uint64_t> late;
  for (const auto &[id, request] : state.PendingRequests)
    if (now.Steady - request.Sent >= state.Config.RequestTimeout)
      late.push_back(id);
  for (const std::uint64_t id : late)
    onVmRefused(state, id, now, rng);
  for (auto &[name, vm] : state.Vms)
    if (vm.Released && now.Steady - vm.ReleasedAt >= 6 * state.Config.OrderResendPeriod)
      releaseVm(vm, now, effects);
  releaseSurplusVms(state, now, effects);
  requestMissingVms(state, now, effects);
  assignModels(state);
  sendOrders(state, now, effects);
  return effects;
}

double warmUpWeight(const State &state, const std::string &vm, const Now &now) {
  const auto it = state.Vms.find(vm);
  if (it == state.Vms.end() || !it->second.Loaded)
    return 0;
  const double age = secondsOf(now.Steady - it->second.LoadedAt) / secondsOf(state.Config.WarmUp);
  return std::clamp(state.Config.WarmUpStart + (1 - state.Config.WarmUpStart) * age,
                    state.Config.WarmUpStart, 1.0);
}

std::uint32_t baseTargetVmCount(const State &state) {
  double vms = 0;
  for (const auto &[model, demand] : state.Demands)
    vms += std::ceil(vmsFor(state, demand) - 1e-9);
  return static_cast<std::uint32_t>(vms);
}

std::uint32_t targetVmCount(const State &state) {
  const std::uint32_t base = baseTargetVmCount(state);
  const std::uint32_t zones = reclaimableZones(state);
  if (zones < 2)
    return base;
  // After the loss of the largest zone, the demand must still fit into all slots of the other
  // zones.
  double slots = 0;
  for (const auto &[model, demand] : state.Demands)
    slots += demand.Slots;
  const auto full = static_cast<std::uint32_t>(std::ceil(slots / state.Config.SlotsPerVm));
  std::uint32_t want = base;
  while (want - (want + zones - 1) / zones < full)
    ++want;
  return want;
}

double costPerHour(const State &state) {
  double cost = 0;
  for (const auto &[name, vm] : state.Vms)
    cost += vm.Price;
  for (const auto &[id, request] : state.PendingRequests)
    cost += priceOf(state, request.Offer);
  return cost;
}

double reclaimRate(const State &state, const OfferKey &offer) {
  const double prior = state.Config.PriorReclaimRate * state.Config.PriorHours;
  const auto it = state.Offers.find(offer);
  if (it == state.Offers.end())
    return state.Config.PriorReclaimRate;
  return (it->second.Reclaims + prior) / (it->second.Hours + state.Config.PriorHours);
}

} // namespace chervil::fleet
