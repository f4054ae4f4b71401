#include "ctl/admin/Table.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <ostream>

namespace chervil::ctl {
namespace {

std::string textOf(const nlohmann::json &value) {
  if (value.is_string())
    return value.get<std::string>();
  if (value.is_boolean())
    return value.get<bool>() ? "yes" : "no";
  if (value.is_number_float()) {
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.4g", value.get<double>());
    return buf.data();
  }
  if (!value.is_array())
    return value.is_null() ? std::string() : value.dump();
  std::string out;
  for (const nlohmann::json &it : value)
    out += (out.empty() ? "" : ",") + textOf(it);
  return out;
}

void printRow(std::ostream &out, const Row &row, const std::vector<std::size_t> &widths) {
  for (std::size_t i = 0; i < row.size(); ++i) {
    out << row[i];
    if (i + 1 < row.size())
      out << std::string(widths[i] - row[i].size() + 2, ' ');
  }
  out << "\n";
}

} // namespace

void printTable(std::ostream &out, const Row &header, const std::vector<Row> &rows) {
  std::vector<std::size_t> widths;
  for (const std::string &it : header)
    widths.push_back(it.size());
  for (const Row &row : rows)
    for (std::size_t i = 0; i < row.size() && i < widths.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  printRow(out, header, widths);
  for (const Row &row : rows)
    printRow(out, row, widths);
}

std::string cell(const nlohmann::json &object, const char *name) {
  const auto it = object.find(name);
  const std::string text = it == object.end() ? std::string() : textOf(*it);
  return text.empty() ? "-" : text;
}

std::string timeCell(const nlohmann::json &object, const char *name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_number_integer())
    return "-";
  const std::time_t seconds = it->get<std::int64_t>() / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> buf{};
  std::strftime(buf.data(), buf.size(), "%Y-%m-%d %H:%M:%S", &parts);
  return buf.data();
}

} // namespace chervil::ctl
