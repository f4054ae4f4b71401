#include "shard/ShardMap.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace chervil::shard {

using nlohmann::json;

namespace {

/// Upper bound of a node name, in bytes.
constexpr std::size_t MaxNameLength = 255;
/// Upper bound of a wall-clock time in ms: many JSON parsers read integers only up to 2^53 exactly.
constexpr std::uint64_t MaxMilliseconds = 1ULL << 53;

Result<std::vector<NodeId>> parseNodes(const json &list) {
  std::vector<NodeId> nodes;
  std::set<std::string> names;
  for (const json &it : list) {
    const std::string where = "nodes[" + std::to_string(nodes.size()) + "]";
    if (!it.is_array() || it.size() != 2 || !it[0].is_string() || !it[1].is_number_unsigned())
      return fail(ResultCode::BadRequest, where + " is not [name, incarnation]");
    NodeId id{it[0].get<std::string>(), it[1].get<std::uint64_t>()};
    if (id.Name.empty() || id.Name.size() > MaxNameLength)
      return fail(ResultCode::BadRequest, where + " has a name of invalid length");
    if (!isSet(id))
      return fail(ResultCode::BadRequest, where + " has incarnation 0");
    if (!names.insert(id.Name + '/' + std::to_string(id.Incarnation)).second)
      return fail(ResultCode::BadRequest, where + " is a duplicate");
    nodes.push_back(std::move(id));
  }
  return nodes;
}

Result<Placement> parsePlacement(const json &it, const std::vector<NodeId> &nodes,
                                 std::size_t index) {
  const std::string where = "shards[" + std::to_string(index) + "]";
  if (!it.is_array() || it.size() != 5 || !it[0].is_number_unsigned() ||
      !it[1].is_number_integer() || !it[2].is_number_unsigned() || !it[3].is_number_unsigned() ||
      !it[4].is_number_unsigned())
    return fail(ResultCode::BadRequest, where + " is not [owner, standby, epoch, ready, lost]");
  Placement p;
  const auto owner = it[0].get<std::uint64_t>();
  if (owner >= nodes.size())
    return fail(ResultCode::BadRequest, where + " has an owner out of range");
  p.Owner = nodes[owner];
  if (it[1].is_number_unsigned()) {
    const auto standby = it[1].get<std::uint64_t>();
    if (standby >= nodes.size())
      return fail(ResultCode::BadRequest, where + " has a standby out of range");
    p.Standby = nodes[standby];
  } else if (it[1].get<std::int64_t>() != -1) {
    return fail(ResultCode::BadRequest, where + " has a standby out of range");
  }
  if (p.Owner.Name == p.Standby.Name)
    return fail(ResultCode::BadRequest, where + " has the same node as owner and standby");
  p.Epoch = it[2].get<std::uint64_t>();
  if (p.Epoch == 0)
    return fail(ResultCode::BadRequest, where + " has epoch 0");
  const auto ready = it[3].get<std::uint64_t>();
  if (ready > 1)
    return fail(ResultCode::BadRequest, where + " has a ready flag other than 0 and 1");
  p.Ready = ready == 1;
  if (p.Ready && !isSet(p.Standby))
    return fail(ResultCode::BadRequest, where + " is ready without a standby");
  const auto lost = it[4].get<std::uint64_t>();
  if (lost > MaxMilliseconds)
    return fail(ResultCode::BadRequest, where + " has a lost time out of range");
  if (lost != 0)
    p.LostSince = WallTime(std::chrono::milliseconds(lost));
  return p;
}

} // namespace

std::uint32_t shardOf(const RequestKey &key, std::size_t count) {
  return static_cast<std::uint32_t>(hashOf(key) % count);
}

std::string serialise(const ShardMap &map) {
  std::map<std::pair<std::string, std::uint64_t>, std::size_t> indices;
  const auto keyOf = [](const NodeId &id) { return std::pair(id.Name, id.Incarnation); };
  for (const Placement &p : map.Shards) {
    indices.emplace(keyOf(p.Owner), 0);
    if (isSet(p.Standby))
      indices.emplace(keyOf(p.Standby), 0);
  }
  json nodes = json::array();
  for (auto &[id, index] : indices) {
    index = nodes.size();
    nodes.push_back(json::array({id.first, id.second}));
  }
  json shards = json::array();
  for (const Placement &p : map.Shards) {
    json row = json::array();
    row.push_back(indices.at(keyOf(p.Owner)));
    row.push_back(isSet(p.Standby) ? json(indices.at(keyOf(p.Standby))) : json(-1));
    row.push_back(p.Epoch);
    row.push_back(p.Ready ? 1U : 0U);
    row.push_back(p.LostSince ? static_cast<std::uint64_t>(p.LostSince->time_since_epoch().count())
                              : std::uint64_t{0});
    shards.push_back(std::move(row));
  }
  json document;
  document["version"] = map.Version;
  document["nodes"] = std::move(nodes);
  document["shards"] = std::move(shards);
  // Node names come from settings and peers. A name that is not valid UTF-8 must not throw here.
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<ShardMap> parseShardMap(std::string_view text) {
  const json document = json::parse(text, nullptr, false);
  if (document.is_discarded())
    return fail(ResultCode::BadJson, "shard map is not JSON");
  if (!document.is_object() || document.size() != 3 || !document.contains("version") ||
      !document.contains("nodes") || !document.contains("shards"))
    return fail(ResultCode::BadRequest, "shard map is not {version, nodes, shards}");
  const json &version = document["version"];
  if (!version.is_number_unsigned() || version.get<std::uint64_t>() == 0)
    return fail(ResultCode::BadRequest, "version is not a positive integer");
  if (!document["nodes"].is_array() || !document["shards"].is_array())
    return fail(ResultCode::BadRequest, "nodes or shards is not a list");
  const json &rows = document["shards"];
  if (rows.empty() || rows.size() > MaxShards)
    return fail(ResultCode::BadRequest, "number of shards is out of range");
  const auto nodes = parseNodes(document["nodes"]);
  if (!nodes)
    return tl::make_unexpected(nodes.error());
  ShardMap map;
  map.Version = version.get<std::uint64_t>();
  map.Shards.reserve(rows.size());
  for (const json &row : rows) {
    auto p = parsePlacement(row, *nodes, map.Shards.size());
    if (!p)
      return tl::make_unexpected(p.error());
    map.Shards.push_back(std::move(*p));
  }
  return map;
}

} // namespace chervil::shard
