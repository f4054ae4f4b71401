#include "ctl/admin/AdminCall.h"
#include "ctl/admin/Commands.h"
#include "ctl/admin/Table.h"

#include <charconv>
#include <ostream>

namespace chervil::ctl {
namespace {

constexpr const char *Usage = R"(Makes one node leave: it takes no new work, finishes or hands over
what runs, and stops.

Usage: chervilctl drain [options]

Options:
  --drain-ms T        Time for running requests, 0..86400000; the node's setting by default.)";

} // namespace

int drainCommand(const std::vector<std::string> &args, Streams io) {
  const auto parsed = parseArgs(std::string(Usage) + CommonOptions, args, io);
  if (!parsed)
    return parsed.error();
  const auto options = adminOptions(*parsed, io);
  if (!options)
    return options.error();
  if (options->Addresses.size() != 1) {
    // With several addresses, the next node would leave when the first does not answer.
    io.Err << "chervilctl: drain expects exactly one address in --admin\n";
    return BadUsage;
  }
  nlohmann::json body = nlohmann::json::object();
  if (const std::string text = textOf(*parsed, "--drain-ms"); !text.empty()) {
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc{} || end != text.data() + text.size() || value > 86'400'000) {
      io.Err << "chervilctl: --drain-ms: expected an integer from 0 to 86400000, found \"" << text
             << "\"\n";
      return BadUsage;
    }
    body["drain_ms"] = value;
  }
  const CallResult result =
      callAdmin(*options, {.Method = "POST", .Path = "drain", .Body = body.dump()});
  if (result.Status != 200 || !result.Body.is_object())
    return reportFailure(result, *options, io);
  if (options->Json)
    io.Out << result.Body.dump(2) << "\n";
  else
    io.Out << cell(result.Body, "node") << " leaves by " << timeCell(result.Body, "leave_by_ms")
           << " UTC\n";
  return Done;
}

} // namespace chervil::ctl
