#include "daemon/Daemon.h"
#include "settings/ParseNodeSettings.h"

#include <docopt/docopt.h>
#include <fstream>
#include <glog/logging.h>
#include <iostream>
#include <sstream>

namespace {

using namespace chervil;

constexpr const char *Usage = R"(chervilcoursed: a node of chervilcourse.

Usage:
  chervilcoursed --settings FILE
  chervilcoursed --help
  chervilcoursed --version

Options:
  --settings FILE  Settings of the node (docs/settings.md).
  --help           Show this text.
  --version        Show the version.

SIGTERM and SIGINT stop the node gracefully: it takes no new work, lets running requests end within
drain_time and hands over the rest.

Exit status: 0 after a graceful stop, 1 if the node could not start, 2 for wrong usage or settings.
)";

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

void startLog(const LogSection &log) {
  FLAGS_logtostderr = log.Dir.empty();
  FLAGS_log_dir = log.Dir;
  FLAGS_logbufsecs = 1;
  FLAGS_minloglevel = log.Level == "error" ? 2 : log.Level == "warning" ? 1 : 0;
  google::InitGoogleLogging("chervilcoursed");
}

} // namespace

int main(int argc, char **argv) {
  const auto args =
      docopt::docopt(Usage, {argv + 1, argv + argc}, true, "chervilcoursed " CHERVIL_VERSION);
  const std::string path = args.at("--settings").asString();
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  if (!in) {
    std::cerr << "chervilcoursed: cannot read " << path << "\n";
    return ExitUsage;
  }
  auto settings = parseNodeSettings(text.str(), path);
  if (!settings) {
    for (const SettingError &it : settings.error())
      std::cerr << toString(it) << "\n";
    return ExitUsage;
  }
  startLog(settings->Log);
  daemon::Daemon daemon(std::move(*settings));
  if (const Result<void> ok = daemon::start(daemon); !ok) {
    LOG(ERROR) << "daemon: " << ok.error().Message << ".";
    return ExitFailed;
  }
  net::run(daemon.Loop);
  LOG(INFO) << "daemon: stopped.";
  return 0;
}
