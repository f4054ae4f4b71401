// Shows a contract change that lost against another: base, theirs, yours. Use:
//   printConflict(out, base, theirs, yours);
#ifndef CHERVIL_CTL_ADMIN_CONFLICTVIEW_H
#define CHERVIL_CTL_ADMIN_CONFLICTVIEW_H

#include "contract/Contract.h"

#include <iosfwd>
#include <optional>

namespace chervil::ctl {

/// One row per field that either side changed. Without a base, the fields in which both differ.
/// Bearer keys are counted, not shown.
void printConflict(std::ostream &out, const std::optional<Contract> &base, const Contract &theirs,
                   const Contract &yours);

} // namespace chervil::ctl

#endif
