#include "contract/ContractJson.h"

#include <algorithm>
#include <map>

namespace chervil {
namespace {

using detail::Json;

void flatten(const Json &value, const std::string &path, std::map<std::string, std::string> &out) {
  if (value.is_object()) {
    for (const auto &it : value.items())
      flatten(it.value(), detail::joinPath(path, it.key()), out);
  } else if (value.is_array() && !value.empty() && value.front().is_object()) {
    // Items with a name are compared by name, so that inserting one does not change the others.
    for (std::size_t i = 0; i < value.size(); ++i) {
      const auto name = value[i].find("name");
      const std::string label =
          name != value[i].end() ? name->get<std::string>() : std::to_string(i);
      std::string itemPath = path;
      flatten(value[i], itemPath.append("[").append(label).append("]"), out);
    }
  } else if (!value.is_array() || !value.empty()) {
    out[path] = value.dump();
  }
}

std::map<std::string, std::string> flatten(const Contract &contract) {
  Json value = detail::toJson(contract);
  value.erase("keys");
  std::map<std::string, std::string> out;
  flatten(value, "", out);
  return out;
}

std::string changeLine(const std::string &path, const std::string &before,
                       const std::string &after) {
  std::string line = path;
  return line.append(": ").append(before).append(" -> ").append(after);
}

std::size_t countMissing(const std::vector<std::string> &wanted,
                         const std::vector<std::string> &present) {
  return static_cast<std::size_t>(std::ranges::count_if(wanted, [&](const std::string &it) {
    return std::ranges::find(present, it) == present.end();
  }));
}

} // namespace

std::vector<std::string> diff(const Contract &a, const Contract &b) {
  std::vector<std::string> lines;
  if (a.Keys != b.Keys)
    lines.push_back("keys: " + std::to_string(countMissing(b.Keys, a.Keys)) + " added, " +
                    std::to_string(countMissing(a.Keys, b.Keys)) + " removed");
  const auto before = flatten(a);
  const auto after = flatten(b);
  for (const auto &[path, text] : before) {
    const auto it = after.find(path);
    if (it == after.end())
      lines.push_back(changeLine(path, text, "(none)"));
    else if (it->second != text)
      lines.push_back(changeLine(path, text, it->second));
  }
  for (const auto &[path, text] : after)
    if (!before.contains(path))
      lines.push_back(changeLine(path, "(none)", text));
  return lines;
}

} // namespace chervil
