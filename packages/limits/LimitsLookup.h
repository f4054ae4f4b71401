// Look-up of the limits in force.
#ifndef CHERVIL_LIMITS_LIMITSLOOKUP_H
#define CHERVIL_LIMITS_LIMITSLOOKUP_H

#include "contract/Contract.h"

#include <functional>
#include <string>

namespace chervil::limits {

/// Limits of a customer, nullptr for one without a contract.
using LimitsLookup = std::function<const ContractLimits *(const std::string &customer)>;

} // namespace chervil::limits

#endif
