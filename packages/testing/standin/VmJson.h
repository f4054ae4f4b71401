// JSON form of a VM (docs/platform.md, section 2).
#ifndef CHERVIL_TESTING_STANDIN_VMJSON_H
#define CHERVIL_TESTING_STANDIN_VMJSON_H

#include "testing/standin/Json.h"
#include "testing/standin/Vm.h"

namespace chervil::standin {

Json toJson(const Vm &vm);

/// A VM without id, in state live. Absent members keep their defaults.
Vm parseVm(const Json &json);

/// `target` as a string or a list of strings.
std::vector<std::string> parseTarget(const Json &json);

} // namespace chervil::standin

#endif
