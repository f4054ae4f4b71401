#include "contract/VersionedContract.h"

#include "contract/ContractJson.h"

#include <algorithm>
#include <limits>

namespace chervil {
namespace {

using detail::Json;

// Wall times up to the year 9999, in milliseconds.
constexpr std::uint64_t MaxTime = 253'402'300'799'999;

ContractChange readChange(detail::JsonReader &reader, const Json &value, const std::string &path) {
  ContractChange change;
  change.Version = detail::readInteger(reader, value, path, "version",
                                       {1, std::numeric_limits<std::int64_t>::max()}, std::nullopt);
  change.Id = detail::readText(reader, value, path, "change", {1, 128}, std::nullopt);
  change.Author = detail::readText(reader, value, path, "author", {0, 128}, std::nullopt);
  change.Time = WallTime(std::chrono::milliseconds(
      detail::readInteger(reader, value, path, "time_ms", {0, MaxTime}, std::nullopt)));
  return change;
}

Json toJson(const ContractChange &change) {
  return {{"version", change.Version},
          {"change", change.Id},
          {"author", change.Author},
          {"time_ms", change.Time.time_since_epoch().count()}};
}

} // namespace

Result<VersionedContract> parseVersionedContract(std::string_view text) {
  const auto value = detail::parseObject(text);
  if (!value)
    return tl::make_unexpected(value.error());
  detail::JsonReader reader;
  detail::checkKeys(reader, *value, "",
                    {"version", "change", "author", "time_ms", "contract", "history"});
  VersionedContract document;
  document.Change = readChange(reader, *value, "");
  if (const auto it = value->find("contract"); it != value->end())
    document.Terms = detail::readContract(reader, *it, "contract");
  else
    detail::addFault(reader, "contract", "is missing; expected an object");
  std::uint64_t above = document.Change.Version;
  if (const Json *list =
          detail::readArray(reader, *value, "", "history", {0, HistoryLength}, true)) {
    for (std::size_t i = 0; i < list->size(); ++i) {
      const std::string path = "history[" + std::to_string(i) + "]";
      if (!detail::checkKeys(reader, (*list)[i], path, {"version", "change", "author", "time_ms"}))
        continue;
      document.History.push_back(readChange(reader, (*list)[i], path));
      if (document.History.back().Version >= above)
        detail::addFault(reader, path + ".version",
                         "expected an integer below " + std::to_string(above));
      above = document.History.back().Version;
    }
  }
  if (!reader.Faults.empty())
    return detail::faultsError(reader);
  return document;
}

std::string serialise(const VersionedContract &document) {
  Json value = toJson(document.Change);
  value["contract"] = detail::toJson(document.Terms);
  value["history"] = Json::array();
  for (const ContractChange &it : document.History)
    value["history"].push_back(toJson(it));
  return value.dump();
}

VersionedContract succeed(const VersionedContract *current, ContractChange change, Contract terms) {
  VersionedContract next{std::move(change), std::move(terms), {}};
  next.Change.Version = 1;
  if (current == nullptr)
    return next;
  next.Change.Version = current->Change.Version + 1;
  next.History.push_back(current->Change);
  const std::size_t kept = std::min(current->History.size(), HistoryLength - 1);
  next.History.insert(next.History.end(), current->History.begin(),
                      current->History.begin() + static_cast<std::ptrdiff_t>(kept));
  return next;
}

const ContractChange *findChange(const VersionedContract &document, std::string_view id) {
  if (document.Change.Id == id)
    return &document.Change;
  const auto it = std::ranges::find(document.History, id, &ContractChange::Id);
  return it == document.History.end() ? nullptr : &*it;
}

const ContractChange *findVersion(const VersionedContract &document, std::uint64_t version) {
  if (document.Change.Version == version)
    return &document.Change;
  const auto it = std::ranges::find(document.History, version, &ContractChange::Version);
  return it == document.History.end() ? nullptr : &*it;
}

} // namespace chervil
