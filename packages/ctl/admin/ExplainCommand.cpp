#include "ctl/admin/AdminCall.h"
#include "ctl/admin/Commands.h"
#include "ctl/admin/Table.h"

#include <ostream>

namespace chervil::ctl {
namespace {

constexpr const char *Usage = R"(Shows which back end a node would choose, and why. Nothing runs.

Usage: chervilctl explain FILE [options]

FILE holds the body of a chat completion, or {"service": ..., "method": ..., "path": ...}; - reads
the standard input.

Options:
  --customer NAME     Apply the terms of this customer's contract.
  --hint TEXT         Kind of work as named in the contract.)";

void print(const nlohmann::json &body, Streams io) {
  const nlohmann::json result = body.value("result", nlohmann::json::object());
  io.Out << "node " << cell(body, "node") << ", target " << cell(body, "target") << ", expected "
         << cell(body, "expected_tokens") << " tokens\n";
  if (result.contains("backend"))
    io.Out << "choice: " << cell(result, "backend") << ", expected " << cell(result, "expected_ms")
           << " ms, wait " << cell(result, "wait_ms") << " ms\n";
  else
    io.Out << "no choice: " << cell(result, "name") << "\n";
  std::vector<Row> rows;
  for (const nlohmann::json &it : body.value("candidates", nlohmann::json::array()))
    rows.push_back({cell(it, "backend"), cell(it, "expected_ms"), cell(it, "prefix_tokens"),
                    cell(it, "slow_factor"), cell(it, "running"), cell(it, "rejected")});
  printTable(io.Out, {"BACK END", "EXPECTED MS", "PREFIX", "SLOW", "RUNNING", "REJECTED"}, rows);
}

} // namespace

int explainCommand(const std::vector<std::string> &args, Streams io) {
  const auto parsed = parseArgs(std::string(Usage) + CommonOptions, args, io);
  if (!parsed)
    return parsed.error();
  const auto options = adminOptions(*parsed, io);
  if (!options)
    return options.error();
  const auto body = readInput(textOf(*parsed, "FILE"), io);
  if (!body)
    return body.error();
  const std::string path = "explain?customer=" + encode(textOf(*parsed, "--customer")) +
                           "&hint=" + encode(textOf(*parsed, "--hint"));
  const CallResult result = callAdmin(*options, {.Method = "POST", .Path = path, .Body = *body});
  if (result.Status != 200 || !result.Body.is_object())
    return reportFailure(result, *options, io);
  if (options->Json)
    io.Out << result.Body.dump(2) << "\n";
  else
    print(result.Body, io);
  return Done;
}

} // namespace chervil::ctl
