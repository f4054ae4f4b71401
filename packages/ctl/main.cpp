#include "ctl/admin/Commands.h"
#include "ctl/load/LoadCommand.h"

#include <array>
#include <csignal>
#include <cstring>
#include <glog/logging.h>
#include <iomanip>
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

using AdminCommand = int (*)(const std::vector<std::string> &args, chervil::ctl::Streams io);

/// An operators' command that prints to the terminal.
template <AdminCommand Command> int onTerminal(const std::vector<std::string> &args) {
  return Command(args, {std::cout, std::cerr});
}

constexpr std::array Commands = {
    Command{"contracts", "Shows and changes the customers' contracts.",
            onTerminal<chervil::ctl::contractsCommand>},
    Command{"nodes", "Shows the nodes.", onTerminal<chervil::ctl::nodesCommand>},
    Command{"backends", "Shows the back ends.", onTerminal<chervil::ctl::backendsCommand>},
    Command{"shards", "Shows owner and standby of every shard.",
            onTerminal<chervil::ctl::shardsCommand>},
    Command{"drain", "Makes one node leave.", onTerminal<chervil::ctl::drainCommand>},
    Command{"explain", "Shows which back end a node would choose, and why.",
            onTerminal<chervil::ctl::explainCommand>},
    Command{"request", "Shows what nodes know about a request.",
            onTerminal<chervil::ctl::requestCommand>},
    Command{"check", "Checks a settings file or a contract.",
            onTerminal<chervil::ctl::checkCommand>},
    Command{"load", "Sends a workload as a good caller and checks every answer.",
            chervil::load::loadCommand},
};

int usage(std::ostream &out, int status) {
  out << "Usage: chervilctl COMMAND [ARGS]...\n"
         "       chervilctl COMMAND --help\n\nCommands:\n";
  for (const Command &it : Commands)
    out << "  " << std::left << std::setw(10) << it.Name << it.Purpose << "\n";
  out << "\nExit status: 0 done, 1 refused, conflict or violated invariant, 2 wrong usage or "
         "invalid\n"
         "input, 3 no node reachable.\n";
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
