#include "testing/standin/LinkServer.h"
#include "testing/standin/ModelServer.h"
#include "testing/standin/PlatformServer.h"
#include "testing/standin/ServiceServer.h"

#include <csignal>
#include <cstdlib>
#include <docopt/docopt.h>
#include <fstream>
#include <glog/logging.h>
#include <iostream>

namespace {

using namespace chervil;
using namespace chervil::standin;

using Args = std::map<std::string, docopt::value>;

constexpr const char *Usage =
    R"(chervil_standin: stand-ins for the outside systems of chervilcourse (docs/platform.md).

Usage:
  chervil_standin platform --port P [options]
  chervil_standin model --port P --name N --model M [options]
  chervil_standin service --port P --name N [options]
  chervil_standin link --listen P --to ADDRESS --delay-ms D [options]
  chervil_standin link --routes FILE [options]

All options:
  --port P              Port on 127.0.0.1.
  --name N              Name of the engine, or name of the service.
  --register URL        Register with the platform stand-in at this base URL.
  --waiting             Register as a process that waits for a grant.
  --region R            [default: local]
  --data-centre D       [default: local]
  --zone Z              [default: local-a]
  --class C             [default: a1]
  --price P             Price per hour [default: 1.0].
  --reclaimable         Register as a reclaimable VM.
  --report-lag-ms T     Age of load reports [default: 500].
  --slots N             Requests run at once [default: 16].

Platform options:
  --vms FILE            JSON list of VMs present at the start ("waiting": true to wait for a grant).
  --prices FILE         JSON list of prices.
  --boot-ms T           From grant to live [default: 2000].
  --weight-rate B       Bytes per second of the weight store [default: 1e9].
  --weight-bytes B      Size of a model's weights [default: 8e9].
  --weight-waiting N    Transfers that may wait [default: 4].

Model options:
  --model M             Model loaded at the start; empty for none.
  --max-queue N         Requests that may wait [default: 1000].
  --prefill-rate R      Prompt tokens per second [default: 8000].
  --chunk-tokens N      Prompt tokens computed in one step at most [default: 512].
  --step-us T           Time of a step [default: 12000].
  --step-per-seq-us T   Added per request that produces a token [default: 500].
  --cache-tokens N      Size of the prefix cache [default: 200000].
  --cache-delay-ms T    Delay of cache events [default: 1000].
  --cache-loss S        Share of cache events lost [default: 0.02].
  --kv-token-bytes B    KV cache per token [default: 100000].
  --kv-rate B           Bytes per second of a KV transfer [default: 2e9].
  --check-fencing       Refuse orders with an old fencing number.
  --load-ms T           Time of load_model without a platform [default: 2000].
  --max-models N        Models held at once [default: 1].
  --crash-marker TEXT   Exit with 137 when a request with this text in its prompt starts.

Service options:
  --latency-ms T        Time of a call [default: 2].
  --executions FILE     Keeps the counts of executions across restarts.

Link options:
  --listen P            Port on 127.0.0.1.
  --to ADDRESS          Target as ip:port.
  --delay-ms D          One-way latency [default: 0].
  --routes FILE         JSON list of {"name","listen","to","delay_ms"}.
  --control P           Control port; 0 takes a free one [default: 0].
)";

std::string textOf(const Args &args, const char *name) {
  const docopt::value &it = args.at(name);
  return it ? it.asString() : std::string();
}

/// Ends the process with status 2 when the option is not a number of at least 0.
double numberOf(const Args &args, const char *name) {
  const std::string text = textOf(args, name);
  char *end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !(value >= 0)) {
    std::cerr << "chervil_standin: " << name << " expects a number of at least 0, not \"" << text
              << "\"\n";
    std::exit(2);
  }
  return value;
}

std::uint16_t portOf(const Args &args, const char *name) {
  const double value = numberOf(args, name);
  if (value > 65535) {
    std::cerr << "chervil_standin: " << name << " expects a port from 0 to 65535\n";
    std::exit(2);
  }
  return static_cast<std::uint16_t>(value);
}

Duration durationOf(const Args &args, const char *name, double unitUs) {
  return Duration(static_cast<std::int64_t>(numberOf(args, name) * unitUs));
}

constexpr double Milli = 1000;
constexpr double Micro = 1;

Json listFile(const Args &args, const char *name) {
  const std::string path = textOf(args, name);
  if (path.empty())
    return Json::array();
  std::ifstream in(path);
  Json list = Json::parse(in, nullptr, false);
  if (!list.is_array()) {
    std::cerr << "chervil_standin: " << path << " is not a JSON list\n";
    std::exit(2);
  }
  return list;
}

Registration registration(const Args &args) {
  Registration it;
  it.Platform = textOf(args, "--register");
  it.Waiting = args.at("--waiting").asBool();
  it.It.Region = textOf(args, "--region");
  it.It.DataCentre = textOf(args, "--data-centre");
  it.It.Zone = textOf(args, "--zone");
  it.It.Class = textOf(args, "--class");
  it.It.PricePerHour = numberOf(args, "--price");
  it.It.Reclaimable = args.at("--reclaimable").asBool();
  return it;
}

PlatformOptions platformOptions(const Args &args) {
  PlatformOptions it;
  it.Port = portOf(args, "--port");
  it.BootTime = durationOf(args, "--boot-ms", Milli);
  it.WeightRate = numberOf(args, "--weight-rate");
  it.WeightBytes = numberOf(args, "--weight-bytes");
  it.WeightWaiting = static_cast<std::size_t>(numberOf(args, "--weight-waiting"));
  it.Vms = listFile(args, "--vms");
  it.Prices = listFile(args, "--prices");
  return it;
}

ModelOptions modelOptions(const Args &args) {
  ModelOptions it;
  it.Port = portOf(args, "--port");
  it.Name = textOf(args, "--name");
  it.Model = textOf(args, "--model");
  it.Batch.Slots = static_cast<std::size_t>(numberOf(args, "--slots"));
  it.Batch.MaxQueue = static_cast<std::size_t>(numberOf(args, "--max-queue"));
  it.Batch.PrefillRate = numberOf(args, "--prefill-rate");
  it.Batch.ChunkTokens = static_cast<std::uint32_t>(numberOf(args, "--chunk-tokens"));
  it.Batch.StepBase = durationOf(args, "--step-us", Micro);
  it.Batch.StepPerSequence = durationOf(args, "--step-per-seq-us", Micro);
  it.CacheTokens = static_cast<std::uint32_t>(numberOf(args, "--cache-tokens"));
  it.CacheEventDelay = durationOf(args, "--cache-delay-ms", Milli);
  it.CacheEventLoss = std::min(1.0, numberOf(args, "--cache-loss"));
  it.ReportLag = durationOf(args, "--report-lag-ms", Milli);
  it.KvBytesPerToken = numberOf(args, "--kv-token-bytes");
  it.KvRate = numberOf(args, "--kv-rate");
  it.CheckFencing = args.at("--check-fencing").asBool();
  it.LoadTime = durationOf(args, "--load-ms", Milli);
  it.MaxModels = static_cast<std::size_t>(numberOf(args, "--max-models"));
  it.CrashMarker = textOf(args, "--crash-marker");
  it.Register = registration(args);
  return it;
}

ServiceOptions serviceOptions(const Args &args) {
  ServiceOptions it;
  it.Port = portOf(args, "--port");
  it.Name = textOf(args, "--name");
  it.Latency = durationOf(args, "--latency-ms", Milli);
  it.Slots = static_cast<unsigned>(numberOf(args, "--slots"));
  it.ReportLag = durationOf(args, "--report-lag-ms", Milli);
  it.ExecutionsFile = textOf(args, "--executions");
  it.Register = registration(args);
  return it;
}

std::vector<LinkOptions> linkRoutes(const Args &args) {
  std::vector<LinkOptions> routes;
  if (args.at("--listen"))
    routes.push_back({"link", portOf(args, "--listen"), textOf(args, "--to"),
                      durationOf(args, "--delay-ms", Milli)});
  for (const Json &it : listFile(args, "--routes"))
    routes.push_back({member(it, "name", std::string()), member<std::uint16_t>(it, "listen", 0),
                      member(it, "to", std::string()),
                      Duration(static_cast<std::int64_t>(member(it, "delay_ms", 0.0) * Milli))});
  return routes;
}

/// Runs until SIGTERM or SIGINT; returns the exit status.
template <typename Server> int serve(net::Loop &loop, const Result<Server> &server) {
  if (!server) {
    std::cerr << "chervil_standin: " << server.error().Message << "\n";
    return 2;
  }
  LOG(INFO) << "standin: listening on port " << net::port(*(*server)->Http);
  for (const int number : {SIGTERM, SIGINT})
    net::onSignal(loop, number, [&loop] { net::stop(loop); });
  net::run(loop);
  return 0;
}

int runCommand(const Args &args) {
  net::Loop loop;
  if (args.at("platform").asBool())
    return serve(loop, startPlatform(loop, platformOptions(args)));
  if (args.at("model").asBool())
    return serve(loop, startModel(loop, modelOptions(args)));
  if (args.at("service").asBool())
    return serve(loop, startService(loop, serviceOptions(args)));
  return serve(loop, startLinks(loop, linkRoutes(args), portOf(args, "--control")));
}

} // namespace

int main(int argc, char **argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return runCommand(docopt::docopt_parse(Usage, {argv + 1, argv + argc}, true, false));
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << Usage;
    return 0;
  } catch (const docopt::DocoptArgumentError &error) {
    std::cerr << "chervil_standin: " << error.what() << "\n" << Usage;
    return 2;
  }
}
