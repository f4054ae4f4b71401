// The operators' commands. `args` begins with the command's name; the result is the exit status
// (AdminOptions.h).
#ifndef CHERVIL_CTL_ADMIN_COMMANDS_H
#define CHERVIL_CTL_ADMIN_COMMANDS_H

#include "ctl/admin/AdminOptions.h"

namespace chervil::ctl {

int contractsCommand(const std::vector<std::string> &args, Streams io);
int nodesCommand(const std::vector<std::string> &args, Streams io);
int backendsCommand(const std::vector<std::string> &args, Streams io);
int shardsCommand(const std::vector<std::string> &args, Streams io);
int drainCommand(const std::vector<std::string> &args, Streams io);
int explainCommand(const std::vector<std::string> &args, Streams io);
int requestCommand(const std::vector<std::string> &args, Streams io);
int checkCommand(const std::vector<std::string> &args, Streams io);

} // namespace chervil::ctl

#endif
