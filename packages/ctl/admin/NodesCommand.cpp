#include "ctl/admin/ListCommand.h"

namespace chervil::ctl {
namespace {

constexpr const char *Usage = R"(Shows the nodes as one node knows them.

Usage: chervilctl nodes [options]

Options:)";

Row nodeRow(const nlohmann::json &it) {
  return {cell(it, "name"),         cell(it, "incarnation"),    cell(it, "data_centre"),
          cell(it, "peer_address"), cell(it, "caller_address"), cell(it, "state"),
          cell(it, "load"),         timeCell(it, "leave_by_ms")};
}

} // namespace

int nodesCommand(const std::vector<std::string> &args, Streams io) {
  const ListView view{
      "nodes",
      "nodes",
      {"NAME", "INCARNATION", "DATA CENTRE", "PEERS", "CALLERS", "STATE", "LOAD%", "LEAVE BY"},
      nodeRow};
  return listCommand(view, Usage, args, io);
}

} // namespace chervil::ctl
