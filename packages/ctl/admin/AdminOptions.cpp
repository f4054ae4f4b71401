#include "ctl/admin/AdminOptions.h"

#include "net/SocketAddress.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

namespace chervil::ctl {
namespace {

std::string fromEnvironment(const char *name) {
  const char *value = std::getenv(name);
  return value == nullptr ? std::string() : std::string(value);
}

std::string trimmed(std::string text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r'))
    text.pop_back();
  return text;
}

} // namespace

const char *const CommonOptions = R"(
  --admin LIST        Admin addresses (ip:port, comma-separated), tried in order
                      [environment: CHERVIL_ADMIN].
  --token-file FILE   File with the admin token [environment: CHERVIL_ADMIN_TOKEN holds the token].
  --json              Print JSON.
  -h --help           Show this text.

Exit status: 0 done, 1 refused or conflict, 2 wrong usage or invalid input, 3 no node reachable.
)";

tl::expected<Args, int> parseArgs(const std::string &usage, const std::vector<std::string> &args,
                                  Streams io) {
  try {
    return docopt::docopt_parse(usage, args, true, false);
  } catch (const docopt::DocoptExitHelp &) {
    io.Out << usage;
    return tl::make_unexpected(Done);
  } catch (const docopt::DocoptArgumentError &e) {
    io.Err << "chervilctl: " << e.what() << "\n" << usage;
    return tl::make_unexpected(BadUsage);
  }
}

std::string textOf(const Args &args, const std::string &name) {
  const auto it = args.find(name);
  return it != args.end() && it->second.isString() ? it->second.asString() : std::string();
}

bool flagOf(const Args &args, const std::string &name) {
  const auto it = args.find(name);
  return it != args.end() && it->second.isBool() && it->second.asBool();
}

tl::expected<AdminOptions, int> adminOptions(const Args &args, Streams io) {
  AdminOptions options;
  options.Json = flagOf(args, "--json");
  std::string list = textOf(args, "--admin");
  if (list.empty())
    list = fromEnvironment("CHERVIL_ADMIN");
  std::istringstream in(list);
  for (std::string it; std::getline(in, it, ',');) {
    if (!net::parseAddress(it)) {
      io.Err << "chervilctl: --admin: expected ip:port, found \"" << it << "\"\n";
      return tl::make_unexpected(BadUsage);
    }
    options.Addresses.push_back(it);
  }
  if (options.Addresses.empty()) {
    io.Err << "chervilctl: --admin or CHERVIL_ADMIN must name at least one node\n";
    return tl::make_unexpected(BadUsage);
  }
  options.Token = fromEnvironment("CHERVIL_ADMIN_TOKEN");
  if (const std::string path = textOf(args, "--token-file"); !path.empty()) {
    const auto token = readInput(path, io);
    if (!token)
      return tl::make_unexpected(token.error());
    options.Token = trimmed(*token);
  }
  return options;
}

tl::expected<std::string, int> readInput(const std::string &path, Streams io) {
  if (path == "-")
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  std::ifstream in(path);
  std::string text(std::istreambuf_iterator<char>(in), {});
  if (!in.is_open() || in.bad()) {
    io.Err << "chervilctl: cannot read " << path << "\n";
    return tl::make_unexpected(BadUsage);
  }
  return text;
}

} // namespace chervil::ctl
