#include "ctl/admin/ListCommand.h"

#include "ctl/admin/AdminCall.h"

#include <ostream>

namespace chervil::ctl {

int showList(const ListView &view, const AdminOptions &options, Streams io) {
  const CallResult result = callAdmin(options, {.Path = view.Path});
  if (result.Status != 200 || !result.Body.is_object())
    return reportFailure(result, options, io);
  if (options.Json) {
    io.Out << result.Body.dump(2) << "\n";
    return Done;
  }
  std::vector<Row> rows;
  for (const nlohmann::json &it : result.Body.value(view.Member, nlohmann::json::array()))
    rows.push_back(view.MakeRow(it));
  printTable(io.Out, view.Header, rows);
  return Done;
}

int listCommand(const ListView &view, const char *usage, const std::vector<std::string> &args,
                Streams io) {
  const auto parsed = parseArgs(std::string(usage) + CommonOptions, args, io);
  if (!parsed)
    return parsed.error();
  const auto options = adminOptions(*parsed, io);
  return options ? showList(view, *options, io) : options.error();
}

} // namespace chervil::ctl
