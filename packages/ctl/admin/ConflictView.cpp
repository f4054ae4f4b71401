#include "ctl/admin/ConflictView.h"

#include "ctl/admin/Table.h"

#include <map>
#include <ostream>
#include <set>

namespace chervil::ctl {
namespace {

struct Change {
  std::string Before;
  std::string After;
};

/// Changed fields by path. Lines of diff() are "path: old -> new", or "keys: N added, M removed".
std::map<std::string, Change> changesBetween(const Contract &a, const Contract &b) {
  std::map<std::string, Change> changes;
  for (const std::string &line : diff(a, b)) {
    const std::size_t colon = line.find(": ");
    const std::string path = line.substr(0, colon);
    const std::string rest = line.substr(colon + 2);
    const std::size_t arrow = rest.find(" -> ");
    if (arrow == std::string::npos)
      changes[path] = {"-", rest};
    else
      changes[path] = {rest.substr(0, arrow), rest.substr(arrow + 4)};
  }
  return changes;
}

} // namespace

void printConflict(std::ostream &out, const std::optional<Contract> &base, const Contract &theirs,
                   const Contract &yours) {
  std::vector<Row> rows;
  if (!base) {
    for (const auto &[path, change] : changesBetween(theirs, yours))
      rows.push_back({path, change.Before, change.After});
    printTable(out, {"FIELD", "THEIRS", "YOURS"}, rows);
    return;
  }
  const auto theirChanges = changesBetween(*base, theirs);
  const auto yourChanges = changesBetween(*base, yours);
  std::set<std::string> paths;
  for (const auto *it : {&theirChanges, &yourChanges})
    for (const auto &[path, change] : *it)
      paths.insert(path);
  for (const std::string &path : paths) {
    const auto a = theirChanges.find(path);
    const auto b = yourChanges.find(path);
    const bool both = a != theirChanges.end() && b != yourChanges.end();
    const std::string &before =
        a != theirChanges.end() ? a->second.Before : yourChanges.at(path).Before;
    const std::string after = a != theirChanges.end() ? a->second.After : "(as base)";
    const std::string mine = b != yourChanges.end() ? b->second.After : "(as base)";
    rows.push_back({path, before, after, mine, both && after != mine ? "conflict" : ""});
  }
  printTable(out, {"FIELD", "BASE", "THEIRS", "YOURS", ""}, rows);
}

} // namespace chervil::ctl
