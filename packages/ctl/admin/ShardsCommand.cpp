#include "ctl/admin/ListCommand.h"

namespace chervil::ctl {
namespace {

constexpr const char *Usage = R"(Shows owner and standby of every shard.

Usage: chervilctl shards [options]

Options:)";

std::string nodeCell(const nlohmann::json &it, const char *name) {
  return it.contains(name) && it[name].is_object() ? cell(it[name], "name") : "-";
}

Row shardRow(const nlohmann::json &it) {
  return {cell(it, "shard"), nodeCell(it, "owner"), nodeCell(it, "standby"),
          cell(it, "epoch"), cell(it, "ready"),     timeCell(it, "lost_since_ms")};
}

} // namespace

int shardsCommand(const std::vector<std::string> &args, Streams io) {
  const ListView view{
      "shards", "shards", {"SHARD", "OWNER", "STANDBY", "EPOCH", "READY", "LOST SINCE"}, shardRow};
  return listCommand(view, Usage, args, io);
}

} // namespace chervil::ctl
