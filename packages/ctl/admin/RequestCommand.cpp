#include "ctl/admin/AdminCall.h"
#include "ctl/admin/Commands.h"
#include "ctl/admin/Table.h"

#include <ostream>

namespace chervil::ctl {
namespace {

constexpr const char *Usage = R"(Shows what the given nodes know about a request.

Usage: chervilctl request CUSTOMER KEY [options]

Every address of --admin is asked; name the owner and the standby of the key's shard as well.

Options:)";

Row rowOf(const std::string &address, const nlohmann::json &body) {
  const auto part = [&](const char *name) {
    return body.contains(name) && body[name].is_object() ? body[name] : nlohmann::json::object();
  };
  const nlohmann::json record = part("record");
  return {cell(body, "node"),          address,
          cell(record, "state"),       cell(record, "attempt"),
          cell(record, "run"),         cell(record, "executor"),
          cell(record, "tokens"),      cell(record, "answer_bytes"),
          cell(part("mark"), "state"), cell(part("execution"), "backend")};
}

} // namespace

int requestCommand(const std::vector<std::string> &args, Streams io) {
  const auto parsed = parseArgs(std::string(Usage) + CommonOptions, args, io);
  if (!parsed)
    return parsed.error();
  const auto options = adminOptions(*parsed, io);
  if (!options)
    return options.error();
  const std::string path =
      "requests/" + encode(textOf(*parsed, "CUSTOMER")) + "/" + encode(textOf(*parsed, "KEY"));
  nlohmann::json answers = nlohmann::json::array();
  std::vector<Row> rows;
  int status = NotReachable;
  for (const std::string &address : options->Addresses) {
    AdminOptions one = *options;
    one.Addresses = {address};
    one.Json = false;
    const CallResult result = callAdmin(one, {.Path = path});
    if (result.Status == 200 && result.Body.is_object()) {
      answers.push_back(result.Body);
      rows.push_back(rowOf(address, result.Body));
      status = Done;
    } else {
      const int failed = reportFailure(result, one, io);
      status = status == Done ? Done : std::min(status, failed);
    }
  }
  if (options->Json)
    io.Out << answers.dump(2) << "\n";
  else if (!rows.empty())
    printTable(io.Out,
               {"NODE", "ADDRESS", "RECORD", "ATTEMPT", "RUN", "EXECUTOR", "TOKENS", "BYTES",
                "MARK", "RUNS ON"},
               rows);
  return status;
}

} // namespace chervil::ctl
