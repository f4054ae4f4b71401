// Options that all operators' commands share. Use:
//   auto args = parseArgs(Usage, argv, io);       // docopt; prints help and errors
//   if (!args) return args.error();
//   auto options = adminOptions(*args, io);
#ifndef CHERVIL_CTL_ADMIN_ADMINOPTIONS_H
#define CHERVIL_CTL_ADMIN_ADMINOPTIONS_H

#include <docopt/docopt.h>
#include <iosfwd>
#include <map>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace chervil::ctl {

/// Exit statuses of the operators' commands.
enum ExitStatus : int { Done = 0, Refused = 1, BadUsage = 2, NotReachable = 3 };

/// Where a command prints to.
struct Streams {
  std::ostream &Out;
  std::ostream &Err;
};

using Args = std::map<std::string, docopt::value>;

struct AdminOptions {
  /// Admin addresses (ip:port) in the order in which they are tried.
  std::vector<std::string> Addresses;
  std::string Token;
  /// Print the answer as JSON.
  bool Json = false;
};

/// The part of a usage text that follows the command's own options.
extern const char *const CommonOptions;

/// Parses by docopt. The error is the exit status: 0 after --help, 2 for wrong usage.
tl::expected<Args, int> parseArgs(const std::string &usage, const std::vector<std::string> &args,
                                  Streams io);

/// Value of an option or argument; empty if absent.
std::string textOf(const Args &args, const std::string &name);
bool flagOf(const Args &args, const std::string &name);

/// Reads the common options, with the environment variables CHERVIL_ADMIN and CHERVIL_ADMIN_TOKEN
/// as defaults. The error is the exit status.
tl::expected<AdminOptions, int> adminOptions(const Args &args, Streams io);

/// Content of a file; "-" is the standard input. The error is the exit status.
tl::expected<std::string, int> readInput(const std::string &path, Streams io);

} // namespace chervil::ctl

#endif
