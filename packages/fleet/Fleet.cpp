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

/// True for a VM that counts towards the target.
bool counts(const VmState &vm) { return !vm.Info.Leaving && !vm.GivenBack; }

struct Counts {
  std::uint32_t Reclaimable = 0;
  std::uint32_t OnDemand = 0;
  std::uint32_t Ready = 0;
  std::uint32_t AskedReclaimable = 0;
  std::uint32_t AskedOnDemand = 0;
  std::map<std::string, std::uint32_t> ByZone;
};

Counts countAll(const State &state) {
  Counts c;
  for (const auto &[name, vm] : state.Vms) {
    if (!counts(vm))
      continue;
    ++(vm.Info.Reclaimable ? c.Reclaimable : c.OnDemand);
    c.Ready += vm.Loaded ? 1 : 0;
    ++c.ByZone[vm.Info.Zone];
  }
  for (const auto &[id, ask] : state.Asks) {
    ++(isReclaimable(ask.Offer) ? c.AskedReclaimable : c.AskedOnDemand);
    ++c.ByZone[std::get<0>(ask.Offer)];
  }
  return c;
}

std::uint32_t total(const Counts &c) {
  return c.Reclaimable + c.OnDemand + c.AskedReclaimable + c.AskedOnDemand;
}

std::uint32_t reclaimableZones(const State &state) {
  std::set<std::string> zones;
  for (const auto &[key, offer] : state.Offers)
    if (isReclaimable(key))
      zones.insert(std::get<0>(key));
  return static_cast<std::uint32_t>(zones.size());
}

/// Price with the expected loss by reclaims.
double fullPrice(const State &state, const OfferKey &key, double price) {
  if (!isReclaimable(key))
    return price;
  return price * (1 + hazard(state, key) * state.Config.ReclaimCostHours);
}

bool askedNow(const State &state, const OfferKey &key) {
  return std::ranges::any_of(state.Asks, [&](const auto &it) { return it.second.Offer == key; });
}

/// The cheapest offer that may be asked now. A zone that has its share of the target is used only
/// when no other zone can be asked: its loss must not exceed the reserve.
const OfferKey *bestOffer(const State &state, const Counts &c, bool reclaimable, const Now &now) {
  const std::uint32_t zones = std::max(1U, reclaimableZones(state));
  const std::uint32_t share = (target(state) + zones - 1) / zones;
  const OfferKey *best = nullptr;
  std::pair<bool, double> bestRank;
  for (const auto &[key, offer] : state.Offers) {
    if (isReclaimable(key) != reclaimable || now.Steady < offer.NotBefore)
      continue;
    // After a refusal one request at a time finds out whether VMs are granted again.
    if (offer.Backoff > Duration{0} && askedNow(state, key))
      continue;
    const auto zone = c.ByZone.find(std::get<0>(key));
    const bool crowded = zone != c.ByZone.end() && zone->second >= share;
    const std::pair rank{crowded, fullPrice(state, key, offer.Price)};
    if (best == nullptr || rank < bestRank) {
      best = &key;
      bestRank = rank;
    }
  }
  return best;
}

/// False if the cost ceiling does not allow it.
bool ask(State &state, Counts &c, const OfferKey &key, const Now &now,
         std::vector<Effect> &effects) {
  if (costPerHour(state) + priceOf(state, key) > state.Config.CostCeiling)
    return false;
  const std::uint64_t id = state.NextAsk++;
  state.Asks[id] = {key, now.Steady};
  ++(isReclaimable(key) ? c.AskedReclaimable : c.AskedOnDemand);
  ++c.ByZone[std::get<0>(key)];
  effects.emplace_back(AskVm{id, std::get<0>(key), std::get<1>(key), isReclaimable(key)});
  return true;
}

void giveBack(VmState &vm, const Now &now, std::vector<Effect> &effects) {
  vm.GivenBack = true;
  vm.GivenBackAt = now.Steady;
  effects.emplace_back(GiveBack{vm.Info.Name});
}

void backOff(State &state, const OfferKey &key, const Now &now, Random &rng) {
  OfferState &offer = state.Offers[key];
  const auto lo = state.Config.BackoffMin.count();
  const auto hi = std::max(lo, 3 * offer.Backoff.count());
  offer.Backoff = std::min(state.Config.BackoffMax,
                           Duration(std::uniform_int_distribution<Duration::rep>(lo, hi)(rng)));
  offer.NotBefore = now.Steady + offer.Backoff;
}

/// The VM to give back first: on-demand, then not loaded, then the most expensive.
VmState *firstToGo(State &state, bool onDemandOnly) {
  VmState *worst = nullptr;
  const auto rank = [&](const VmState &vm) {
    return std::tuple{!vm.Info.Reclaimable, !vm.Loaded, fullPrice(state, keyOf(vm.Info), vm.Price)};
  };
  for (auto &[name, vm] : state.Vms)
    if (counts(vm) && (!onDemandOnly || !vm.Info.Reclaimable) &&
        (worst == nullptr || rank(vm) > rank(*worst)))
      worst = &vm;
  return worst;
}

void askForMissing(State &state, const Now &now, std::vector<Effect> &effects) {
  Counts c = countAll(state);
  const std::uint32_t want = target(state);
  // On-demand VMs are a bridge: reclaimable VMs are asked for as if there were none.
  bool ceiling = false;
  while (c.Reclaimable + c.AskedReclaimable < want && !ceiling) {
    const OfferKey *key = bestOffer(state, c, true, now);
    if (key == nullptr)
      break;
    ceiling = !ask(state, c, *key, now, effects);
  }
  const bool missing = c.Reclaimable < want;
  if (missing && !state.Short)
    state.ShortSince = now.Steady;
  state.Short = missing;
  // An on-demand VM that takes the room of cheaper reclaimable ones makes way, one at a time.
  if (ceiling && c.OnDemand > 0 && state.Asks.empty()) {
    const bool goingAlready =
        std::ranges::any_of(state.Vms, [](const auto &it) { return it.second.GivenBack; });
    if (VmState *vm = firstToGo(state, true); vm != nullptr && !goingAlready)
      giveBack(*vm, now, effects);
    return;
  }
  if (!missing || now.Steady - state.ShortSince < state.Config.BridgeAfter)
    return;
  while (total(c) - c.AskedReclaimable < baseTarget(state)) {
    const OfferKey *key = bestOffer(state, c, false, now);
    if (key == nullptr || !ask(state, c, *key, now, effects))
      break;
  }
}

void giveSurplusBack(State &state, const Now &now, std::vector<Effect> &effects) {
  const std::uint32_t want = target(state);
  Counts c = countAll(state);
  // On-demand VMs go as soon as reclaimable ones are ready in their place.
  while (c.OnDemand > 0 && c.Ready > want) {
    VmState *vm = firstToGo(state, true);
    c.Ready -= vm->Loaded ? 1 : 0;
    --c.OnDemand;
    giveBack(*vm, now, effects);
  }
  const bool surplus = c.Reclaimable + c.OnDemand > want;
  if (surplus && !state.Surplus)
    state.SurplusSince = now.Steady;
  state.Surplus = surplus;
  // Granted late or dearer than before: the ceiling goes before the target.
  double cost = costPerHour(state);
  for (const auto &[name, vm] : state.Vms)
    cost -= vm.GivenBack ? vm.Price : 0;
  while (cost > state.Config.CostCeiling) {
    VmState *vm = firstToGo(state, false);
    if (vm == nullptr)
      return;
    cost -= vm->Price;
    giveBack(*vm, now, effects);
  }
  if (!surplus || now.Steady - state.SurplusSince < state.Config.KeepSurplus)
    return;
  for (std::uint32_t n = c.Reclaimable + c.OnDemand; n > want; --n)
    if (VmState *vm = firstToGo(state, false))
      giveBack(*vm, now, effects);
}

double vmsFor(const State &state, const Demand &demand) {
  return demand.Slots / (state.Config.SlotsPerVm * state.Config.TargetLoad);
}

/// Assigns free VMs to the models that lack most, and moves a VM from a model with too many to one
/// that has none.
void assignModels(State &state) {
  double needed = 0;
  for (const auto &[model, demand] : state.Demands)
    needed += vmsFor(state, demand);
  if (needed <= 0)
    return;
  std::map<std::string, double> lack;
  double have = 0;
  for (const auto &[name, vm] : state.Vms)
    have += counts(vm) ? 1 : 0;
  for (const auto &[model, demand] : state.Demands)
    if (demand.Slots > 0)
      lack[model] = vmsFor(state, demand) * std::max(1.0, have / needed);
  std::map<std::string, int> assigned;
  for (auto &[name, vm] : state.Vms)
    if (counts(vm) && !vm.Assigned.empty()) {
      lack[vm.Assigned] -= 1;
      ++assigned[vm.Assigned];
    }
  const auto most = [&] {
    // A model without any VM comes first.
    return std::ranges::max_element(lack, {}, [&](const auto &it) {
      const auto demand = state.Demands.find(it.first);
      const bool none =
          demand != state.Demands.end() && demand->second.Slots > 0 && assigned[it.first] == 0;
      return std::pair{none, it.second};
    });
  };
  for (auto &[name, vm] : state.Vms)
    if (counts(vm) && vm.Listed && vm.Assigned.empty()) {
      const auto it = most();
      vm.Assigned = it->first;
      it->second -= 1;
      ++assigned[it->first];
    }
  const auto needy = most();
  if (needy->second < 1 && assigned[needy->first] > 0)
    return;
  const auto rich = std::ranges::min_element(lack, {}, [](const auto &it) { return it.second; });
  if (rich->second > -1 || rich->first == needy->first)
    return;
  for (auto &[name, vm] : state.Vms)
    if (counts(vm) && vm.Assigned == rich->first) {
      vm.Assigned = needy->first;
      vm.Loaded = vm.Acknowledged = false;
      vm.OrderId.clear();
      return;
    }
}

void sendOrders(State &state, const Now &now, std::vector<Effect> &effects) {
  for (auto &[name, vm] : state.Vms) {
    if (!counts(vm) || !vm.Listed || vm.Assigned.empty() || vm.Loaded)
      continue;
    // The old holder may still believe in its lease; an engine without the check would obey both.
    if (!vm.Info.FencingChecked && now.Steady < state.OldLeaseEnd + state.Config.LeaseMargin)
      continue;
    if (!vm.OrderId.empty()) {
      if (!vm.Acknowledged && now.Steady - vm.OrderSent >= state.Config.ResendOrder) {
        vm.OrderSent = now.Steady;
        effects.emplace_back(OrderLoad{vm.OrderId, name, vm.Assigned, state.Fencing});
      }
      continue;
    }
    const auto demand = state.Demands.find(vm.Assigned);
    const double bytes = demand == state.Demands.end() ? 0 : demand->second.WeightBytes;
    const double burst = state.Config.StoreBytesPerSecond * secondsOf(state.Config.StoreBurst);
    if (state.StoreTokens < std::min(bytes, burst))
      continue;
    state.StoreTokens -= bytes;
    vm.OrderId = name + "/" + vm.Assigned + "/" + std::to_string(++vm.Orders);
    vm.OrderSent = now.Steady;
    effects.emplace_back(OrderLoad{vm.OrderId, name, vm.Assigned, state.Fencing});
  }
}

void noteReclaim(State &state, VmState &vm) {
  if (vm.Info.Reclaimable && !vm.GivenBack && !vm.Info.Leaving)
    state.Offers[keyOf(vm.Info)].Reclaims += 1;
  vm.Info.Leaving = true;
}

void noteLoaded(const State &state, VmState &vm, bool warm, const Now &now) {
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

void becomeHolder(State &state, std::uint64_t fencing, TimePoint oldLeaseEnd) {
  if (fencing <= state.HighestFencing)
    return;
  state.Fencing = fencing;
  state.HighestFencing = fencing;
  state.OldLeaseEnd = oldLeaseEnd;
}

void loseLease(State &state) { state.Fencing = 0; }

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
      vm.Since = now.Steady;
      vm.Price = priceOf(state, keyOf(it));
      vm.Assigned = it.Model;
    }
    vm.Info = it;
    vm.Info.Leaving = leaving;
    vm.Listed = true;
    if (it.Leaving)
      noteReclaim(state, vm);
    if (!it.Model.empty() && it.Model == vm.Assigned)
      noteLoaded(state, vm, added, now);
  }
  for (auto it = state.Vms.begin(); it != state.Vms.end();) {
    VmState &vm = it->second;
    // The list lags behind a grant.
    const bool granted = !vm.Listed && now.Steady - vm.Since < state.Config.AskTimeout;
    if (granted || listed.contains(it->first)) {
      ++it;
      continue;
    }
    noteReclaim(state, vm);
    it = state.Vms.erase(it);
  }
}

void vmLeaving(State &state, const std::string &vm, const Now &) {
  if (const auto it = state.Vms.find(vm); it != state.Vms.end())
    noteReclaim(state, it->second);
}

void vmGranted(State &state, std::uint64_t ask, const std::string &vm, const Now &now) {
  const auto it = state.Asks.find(ask);
  if (it == state.Asks.end())
    return;
  const OfferKey key = it->second.Offer;
  state.Asks.erase(it);
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
  at->second.Since = now.Steady;
}

void vmRefused(State &state, std::uint64_t ask, const Now &now, Random &rng) {
  const auto it = state.Asks.find(ask);
  if (it == state.Asks.end())
    return;
  const OfferKey key = it->second.Offer;
  state.Asks.erase(it);
  if (state.Offers.contains(key))
    backOff(state, key, now, rng);
}

void orderDone(State &state, const std::string &orderId, const Now &now) {
  for (auto &[name, vm] : state.Vms)
    if (!vm.OrderId.empty() && vm.OrderId == orderId)
      noteLoaded(state, vm, false, now);
}

std::vector<Effect> tick(State &state, const Now &now, Random &rng) {
  std::vector<Effect> effects;
  const Duration passed = state.Ticked ? now.Steady - state.LastTick : Duration{0};
  state.LastTick = now.Steady;
  const double burst = state.Config.StoreBytesPerSecond * secondsOf(state.Config.StoreBurst);
  state.StoreTokens =
      state.Ticked ? std::min(burst, state.StoreTokens +
                                         secondsOf(passed) * state.Config.StoreBytesPerSecond)
                   : burst;
  state.Ticked = true;
  for (const auto &[name, vm] : state.Vms)
    if (const auto it = state.Offers.find(keyOf(vm.Info)); it != state.Offers.end())
      it->second.Hours += hoursOf(passed);
  if (state.Fencing == 0)
    return effects;
  std::vector<std::uint64_t> late;
  for (const auto &[id, ask] : state.Asks)
    if (now.Steady - ask.Sent >= state.Config.AskTimeout)
      late.push_back(id);
  for (const std::uint64_t id : late)
    vmRefused(state, id, now, rng);
  for (auto &[name, vm] : state.Vms)
    if (vm.GivenBack && now.Steady - vm.GivenBackAt >= 6 * state.Config.ResendOrder)
      giveBack(vm, now, effects);
  giveSurplusBack(state, now, effects);
  askForMissing(state, now, effects);
  assignModels(state);
  sendOrders(state, now, effects);
  return effects;
}

double warmUp(const State &state, const std::string &vm, const Now &now) {
  const auto it = state.Vms.find(vm);
  if (it == state.Vms.end() || !it->second.Loaded)
    return 0;
  const double age = secondsOf(now.Steady - it->second.LoadedAt) / secondsOf(state.Config.WarmUp);
  return std::clamp(state.Config.WarmUpStart + (1 - state.Config.WarmUpStart) * age,
                    state.Config.WarmUpStart, 1.0);
}

std::uint32_t baseTarget(const State &state) {
  double vms = 0;
  for (const auto &[model, demand] : state.Demands)
    vms += std::ceil(vmsFor(state, demand) - 1e-9);
  return static_cast<std::uint32_t>(vms);
}

std::uint32_t target(const State &state) {
  const std::uint32_t base = baseTarget(state);
  const std::uint32_t zones = reclaimableZones(state);
  if (zones < 2)
    return base;
  // After the loss of the fullest zone the demand still fits into all slots of the others.
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
  for (const auto &[id, ask] : state.Asks)
    cost += priceOf(state, ask.Offer);
  return cost;
}

double hazard(const State &state, const OfferKey &offer) {
  const double prior = state.Config.PriorHazard * state.Config.PriorHours;
  const auto it = state.Offers.find(offer);
  if (it == state.Offers.end())
    return state.Config.PriorHazard;
  return (it->second.Reclaims + prior) / (it->second.Hours + state.Config.PriorHours);
}

} // namespace chervil::fleet
