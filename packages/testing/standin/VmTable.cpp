#include "testing/standin/VmTable.h"

#include <algorithm>
#include <utility>

namespace chervil::standin {
namespace {

/// Long enough for every client to see the end of a VM in a list that only shows changes.
constexpr std::chrono::minutes GoneKept{10};

std::int64_t wallMs(const Now &now, Duration ahead) {
  return now.Wall.time_since_epoch().count() +
         std::chrono::duration_cast<std::chrono::milliseconds>(ahead).count();
}

void announce(VmTable &table, const Vm &vm, const Now &now) {
  table.Unlisted.push_back({now.Steady + table.Lag, vm});
}

void end(VmTable &table, Vm &vm, const Now &now) {
  if (vm.State == VmState::Gone)
    return;
  vm.State = VmState::Gone;
  if (vm.LeaveByMs == 0)
    vm.LeaveByMs = wallMs(now, Duration::zero());
  table.Removals.push_back({now.Steady + GoneKept, vm.Id});
  announce(table, vm, now);
}

bool fits(const Vm &vm, const VmOrder &order) {
  return vm.Role == order.Role && vm.Zone == order.Zone && vm.Reclaimable == order.Reclaimable &&
         (order.Class.empty() || vm.Class == order.Class) &&
         (vm.Target.empty() || order.Target.empty() || vm.Target == order.Target);
}

void bootGrants(VmTable &table, const Now &now) {
  for (std::size_t i = 0; i < table.Grants.size();) {
    const VmGrant &grant = table.Grants[i];
    const auto it =
        std::ranges::find_if(table.Waiting, [&](const Vm &vm) { return fits(vm, grant.Order); });
    if (grant.BootedAt > now.Steady || it == table.Waiting.end()) {
      ++i;
      continue;
    }
    Vm vm = std::move(*it);
    table.Waiting.erase(it);
    vm.Id = grant.Id;
    if (vm.Target.empty())
      vm.Target = grant.Order.Target;
    table.Vms[vm.Id] = vm;
    announce(table, vm, now);
    table.Grants.erase(table.Grants.begin() + static_cast<std::ptrdiff_t>(i));
  }
}

bool publish(VmTable &table, const Now &now) {
  bool changed = false;
  // A shorter lag may have been set later, so that changes behind the first one can be due. They
  // stay behind it, because a VM must not go back to an earlier state.
  while (!table.Unlisted.empty() && table.Unlisted.front().At <= now.Steady) {
    Vm vm = std::move(table.Unlisted.front().It);
    table.Unlisted.pop_front();
    std::string id = vm.Id;
    table.List[id] = {std::move(vm), ++table.ListRevision};
    changed = true;
  }
  return changed;
}

} // namespace

std::string registerVm(VmTable &table, Vm vm, bool waiting, const Now &now) {
  for (auto &[id, it] : table.Vms)
    if (it.Address == vm.Address)
      end(table, it, now);
  std::erase_if(table.Waiting, [&](const Vm &it) { return it.Address == vm.Address; });
  vm.State = VmState::Live;
  vm.LeaveByMs = 0;
  if (waiting) {
    vm.Id.clear();
    table.Waiting.push_back(std::move(vm));
    bootGrants(table, now);
    return {};
  }
  vm.Id = "vm-" + std::to_string(table.NextId++);
  std::string id = vm.Id;
  announce(table, vm, now);
  table.Vms[id] = std::move(vm);
  return id;
}

std::optional<std::string> requestVm(VmTable &table, VmOrder order, const Now &now) {
  if (const auto it = table.ByRequest.find(order.RequestId); it != table.ByRequest.end())
    return it->second;
  if (table.RefuseAll || table.RefusedZones.contains(order.Zone))
    return std::nullopt;
  std::string id = "vm-" + std::to_string(table.NextId++);
  table.ByRequest[order.RequestId] = id;
  table.Grants.push_back({id, std::move(order), now.Steady + table.BootTime});
  return id;
}

bool releaseVm(VmTable &table, const std::string &id, const Now &now) {
  if (std::erase_if(table.Grants, [&](const VmGrant &it) { return it.Id == id; }) > 0)
    return true;
  const auto it = table.Vms.find(id);
  if (it == table.Vms.end())
    return std::ranges::any_of(table.ByRequest,
                               [&](const auto &request) { return request.second == id; });
  end(table, it->second, now);
  return true;
}

std::vector<std::string> reclaim(VmTable &table, const ReclaimOrder &order, const Now &now) {
  std::vector<std::string> ids;
  for (auto &[id, vm] : table.Vms) {
    const bool named = !order.Vm.empty();
    const bool meant = named ? vm.Id == order.Vm || vm.Address == order.Vm
                             : vm.Zone == order.Zone && (vm.Reclaimable || order.All);
    if (!meant || vm.State != VmState::Live)
      continue;
    ids.push_back(id);
    if (order.Notice <= Duration::zero()) {
      end(table, vm, now);
      continue;
    }
    vm.State = VmState::Leaving;
    vm.LeaveByMs = wallMs(now, order.Notice);
    table.Notices.push_back({table.Notices.size() + 1, id, vm.Address, vm.LeaveByMs});
    table.Ends.push_back({now.Steady + order.Notice, id});
    announce(table, vm, now);
  }
  return ids;
}

bool tick(VmTable &table, const Now &now) {
  for (const VmEnd &it : table.Ends)
    if (it.At <= now.Steady)
      end(table, table.Vms.at(it.Id), now);
  const auto due = [&](const VmEnd &it) { return it.At <= now.Steady; };
  std::erase_if(table.Ends, due);
  bootGrants(table, now);
  const bool changed = publish(table, now);
  for (const VmEnd &it : table.Removals)
    if (due(it)) {
      table.Vms.erase(it.Id);
      table.List.erase(it.Id);
    }
  std::erase_if(table.Removals, due);
  return changed;
}

} // namespace chervil::standin
