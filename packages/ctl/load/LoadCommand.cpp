#include "ctl/load/LoadCommand.h"

#include "ctl/load/LoadRun.h"

#include <cstdlib>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

namespace chervil::load {
namespace {

constexpr const char *Usage = R"(Sends a workload as a good caller and checks every answer.

Usage:
  chervilctl load --entry LIST --workload FILE [options]
  chervilctl load --direct LIST --workload FILE [options]

Options:
  --entry LIST            Addresses (ip:port, comma-separated) that are asked for the entry list.
  --direct LIST           Send to these model engines in turn, without the system.
  --direct-services LIST  Application engines for --direct; without, service kinds are left out.
  --workload FILE         Workload (JSON).
  --rate R                Requests per second, open loop.
  --callers N             Callers of a closed loop [default: 8].
  --duration-s T          Time of sending [default: 10].
  --requests N            Stop after this many requests.
  --verify LIST           Base URLs of application engines whose executions are compared.
  --json FILE             Write the report as JSON.
  --give-up-s T           Give a request up after this time [default: 300].
  --idle-s T              A stream without a byte for this long counts as cut [default: 30].
  --settle-s T            Wait before the comparison of executions [default: 2].
  --seed N                Seed of the random draws [default: 1].

The last line is
  load: requests=N ok=N lost=N doubled=N partial=N wrong_not_run=N refused=N unknown=N
The exit status is 1 if lost, doubled, partial, wrong or wrong_not_run is above 0.
)";

using Args = std::map<std::string, docopt::value>;

std::string textOf(const Args &args, const char *name) {
  const docopt::value &it = args.at(name);
  return it ? it.asString() : std::string();
}

std::vector<std::string> listOf(const Args &args, const char *name) {
  std::vector<std::string> list;
  std::istringstream in(textOf(args, name));
  for (std::string item; std::getline(in, item, ',');)
    if (!item.empty())
      list.push_back(item);
  return list;
}

Result<double> numberOf(const Args &args, const char *name) {
  const std::string text = textOf(args, name);
  if (text.empty())
    return 0;
  char *end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  if (*end != '\0' || !(value >= 0))
    return fail(ResultCode::BadRequest,
                std::string(name) + " expects a number of at least 0, not \"" + text + "\"");
  return value;
}

Result<Workload> readWorkload(const std::string &path) {
  std::ifstream in(path);
  if (!in)
    return fail(ResultCode::BadRequest, "cannot read " + path);
  return parseWorkload(std::string(std::istreambuf_iterator<char>(in), {}));
}

Duration seconds(double value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

Result<LoadOptions> parseOptions(const Args &args) {
  LoadOptions options;
  auto workload = readWorkload(textOf(args, "--workload"));
  if (!workload)
    return tl::make_unexpected(workload.error());
  options.Work = std::move(*workload);
  options.Entry = listOf(args, "--entry");
  options.DirectModels = listOf(args, "--direct");
  options.DirectServices = listOf(args, "--direct-services");
  options.Verify = listOf(args, "--verify");
  const auto set = [&](const char *name, auto apply) -> Result<void> {
    const auto value = numberOf(args, name);
    if (!value)
      return tl::make_unexpected(value.error());
    apply(*value);
    return {};
  };
  const std::vector<Result<void>> steps = {
      set("--rate", [&](double v) { options.Rate = v; }),
      set("--callers", [&](double v) { options.Callers = static_cast<std::size_t>(v); }),
      set("--duration-s", [&](double v) { options.Length = seconds(v); }),
      set("--requests", [&](double v) { options.MaxRequests = static_cast<std::uint64_t>(v); }),
      set("--give-up-s", [&](double v) { options.GiveUp = seconds(v); }),
      set("--idle-s",
          [&](double v) { options.Idle = std::chrono::seconds(static_cast<std::int64_t>(v)); }),
      set("--settle-s", [&](double v) { options.Settle = seconds(v); }),
      set("--seed", [&](double v) { options.Seed = static_cast<std::uint64_t>(v); }),
  };
  for (const Result<void> &it : steps)
    if (!it)
      return tl::make_unexpected(it.error());
  if (options.Rate <= 0 && options.Callers == 0)
    return fail(ResultCode::BadRequest, "--callers expects at least 1 without --rate");
  return options;
}

} // namespace

int loadCommand(const std::vector<std::string> &args) {
  Args parsed;
  try {
    parsed = docopt::docopt_parse(Usage, args, true, false);
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << Usage;
    return 0;
  } catch (const std::runtime_error &error) {
    std::cerr << "chervilctl: " << error.what() << "\n" << Usage;
    return 2;
  }
  auto options = parseOptions(parsed);
  if (!options) {
    std::cerr << "chervilctl: " << options.error().Message << "\n";
    return 2;
  }
  net::Loop loop;
  const auto report = runLoad(loop, std::move(*options));
  if (!report) {
    std::cerr << "chervilctl: " << report.error().Message << "\n";
    return 1;
  }
  std::cout << formatText(*report);
  if (const std::string path = textOf(parsed, "--json"); !path.empty()) {
    std::ofstream out(path);
    out << formatJson(*report);
    if (!out.flush()) {
      std::cerr << "chervilctl: cannot write " << path << "\n";
      return 1;
    }
  }
  std::cout << summaryLine(report->Totals) << std::endl;
  return violates(report->Totals) ? 1 : 0;
}

} // namespace chervil::load
