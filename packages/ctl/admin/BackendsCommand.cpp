#include "ctl/admin/ListCommand.h"

namespace chervil::ctl {
namespace {

constexpr const char *Usage = R"(Shows the back ends as one node sees them.

Usage: chervilctl backends [options]

Options:)";

Row backendRow(const nlohmann::json &it) {
  return {cell(it, "name"),        cell(it, "address"), cell(it, "targets"), cell(it, "zone"),
          cell(it, "class"),       cell(it, "state"),   cell(it, "running"), cell(it, "slots"),
          cell(it, "slow_factor"), cell(it, "ejected")};
}

} // namespace

int backendsCommand(const std::vector<std::string> &args, Streams io) {
  const ListView view{"backends",
                      "backends",
                      {"NAME", "ADDRESS", "TARGETS", "ZONE", "CLASS", "STATE", "RUNNING", "SLOTS",
                       "SLOW", "EJECTED"},
                      backendRow};
  return listCommand(view, Usage, args, io);
}

} // namespace chervil::ctl
