#include "ctl/load/LoadCommand.h"

#include <array>
#include <csignal>
#include <cstring>
#include <glog/logging.h>
#include <iostream>
#include <string>
#include <vector>

namespace {

/// A sub-command. `Run` receives the arguments from the command's name on and returns the exit
/// status.
struct Command {
  const char *Name;
  const char *Purpose;
  int (*Run)(const std::vector<std::string> &args);
};

constexpr std::array Commands = {
    Command{"load", "Sends a workload as a good caller and checks every answer.",
            chervil::load::loadCommand},
};

int usage(std::ostream &out, int status) {
  out << "Usage: chervilctl COMMAND [ARGS]...\n"
         "       chervilctl COMMAND --help\n\nCommands:\n";
  for (const Command &it : Commands)
    out << "  " << it.Name << "  " << it.Purpose << "\n";
  return status;
}

} // namespace

int main(int argc, char **argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> args(argv + 1, argv + argc);
  if (args.empty())
    return usage(std::cerr, 2);
  if (args[0] == "--help" || args[0] == "-h")
    return usage(std::cout, 0);
  for (const Command &it : Commands)
    if (args[0] == it.Name)
      return it.Run(args);
  std::cerr << "chervilctl: unknown command \"" << args[0] << "\"\n";
  return usage(std::cerr, 2);
}
