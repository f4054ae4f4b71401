// Aligned text tables. Use:
//   printTable(out, {"NAME", "STATE"}, {{"n1", "alive"}});
#ifndef CHERVIL_CTL_ADMIN_TABLE_H
#define CHERVIL_CTL_ADMIN_TABLE_H

#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace chervil::ctl {

using Row = std::vector<std::string>;

/// Columns are separated by two spaces; a row may have fewer cells than the header.
void printTable(std::ostream &out, const Row &header, const std::vector<Row> &rows);

/// A member as text: "-" if absent, null or empty, lists joined by commas, numbers without
/// superfluous digits.
std::string cell(const nlohmann::json &object, const char *name);

/// A member in ms since the epoch as UTC, for example "2026-01-31 08:00:00".
std::string timeCell(const nlohmann::json &object, const char *name);

} // namespace chervil::ctl

#endif
