// `chervilctl load`: reads the options, runs the load and prints the report.
#ifndef CHERVIL_CTL_LOAD_LOADCOMMAND_H
#define CHERVIL_CTL_LOAD_LOADCOMMAND_H

#include <string>
#include <vector>

namespace chervil::load {

/// `args` begins with "load". Returns the exit status: 0, 1 when an invariant is violated or the
/// run failed, 2 for wrong options.
int loadCommand(const std::vector<std::string> &args);

} // namespace chervil::load

#endif
