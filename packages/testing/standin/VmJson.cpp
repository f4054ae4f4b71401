#include "testing/standin/VmJson.h"

namespace chervil::standin {
namespace {

const char *stateName(VmState state) {
  switch (state) {
  case VmState::Live:
    return "live";
  case VmState::Leaving:
    return "leaving";
  case VmState::Gone:
    return "gone";
  }
  return "gone";
}

} // namespace

Json toJson(const Vm &vm) {
  return {{"id", vm.Id},
          {"address", vm.Address},
          {"role", vm.Role},
          {"target", vm.Target},
          {"region", vm.Region},
          {"data_centre", vm.DataCentre},
          {"zone", vm.Zone},
          {"class", vm.Class},
          {"reclaimable", vm.Reclaimable},
          {"price_per_hour", vm.PricePerHour},
          {"slots", vm.Slots},
          {"checks_fencing", vm.ChecksFencing},
          {"state", stateName(vm.State)},
          {"leave_by_ms", vm.LeaveByMs}};
}

std::vector<std::string> parseTarget(const Json &json) {
  std::vector<std::string> target;
  const auto it = json.find("target");
  if (it == json.end())
    return target;
  if (it->is_string() && !it->get<std::string>().empty())
    target.push_back(it->get<std::string>());
  if (it->is_array())
    for (const Json &name : *it)
      if (name.is_string())
        target.push_back(name.get<std::string>());
  return target;
}

Vm parseVm(const Json &json) {
  Vm vm;
  vm.Address = member(json, "address", std::string());
  vm.Role = member(json, "role", std::string());
  vm.Target = parseTarget(json);
  vm.Region = member(json, "region", std::string());
  vm.DataCentre = member(json, "data_centre", std::string());
  vm.Zone = member(json, "zone", std::string());
  vm.Class = member(json, "class", std::string());
  vm.Reclaimable = member(json, "reclaimable", false);
  vm.PricePerHour = member(json, "price_per_hour", 0.0);
  vm.Slots = member(json, "slots", 0U);
  vm.ChecksFencing = member(json, "checks_fencing", false);
  return vm;
}

} // namespace chervil::standin
