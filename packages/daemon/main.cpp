#include "daemon/Daemon.h"
#include "daemon/edge/Edge.h"
#include "settings/ParseNodeSettings.h"

#include <cstdlib>
#include <docopt/docopt.h>
#include <fstream>
#include <glog/logging.h>
#include <iostream>
#include <malloc.h>
#include <sstream>
#include <vector>

namespace {

using namespace chervil;

constexpr const char *Usage = R"(chervilcoursed: a node of chervilcourse.

Usage:
  chervilcoursed [--settings FILE] [--set OVERRIDE]...
  chervilcoursed --help
  chervilcoursed --version

Options:
  --settings FILE  Settings of the node (docs/settings.md). Without it, the variable
                   CHERVILCOURSE_SETTINGS names the file.
  --set OVERRIDE   SECTION.KEY=VALUE: replaces a value of the settings file; ignored if VALUE is
                   empty. Deploy files pass the limits of the VM in this way.
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

/// Runs a node until it stops; returns the exit status.
template <typename Node> int serve(Node &node) {
  if (const Result<void> ok = daemon::start(node); !ok) {
    LOG(ERROR) << "daemon: " << ok.error().Message << ".";
    return ExitFailed;
  }
  net::run(node.Loop);
  LOG(INFO) << "daemon: stopped.";
  return 0;
}

std::string settingsPath(const docopt::value &option) {
  if (option.isString())
    return option.asString();
  const char *path = std::getenv("CHERVILCOURSE_SETTINGS");
  return path == nullptr ? "" : path;
}

// Larger blocks get memory of their own, which goes back to the system when they are freed. Without
// a fixed value glibc raises it to the size of freed blocks, and bodies then fragment the heap.
constexpr int MinMappedBytes = 128 * 1024;

} // namespace

int main(int argc, char **argv) {
  (void)mallopt(M_MMAP_THRESHOLD, MinMappedBytes);
  const auto args =
      docopt::docopt(Usage, {argv + 1, argv + argc}, true, "chervilcoursed " CHERVIL_VERSION);
  const std::string path = settingsPath(args.at("--settings"));
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  if (!in) {
    std::cerr << "chervilcoursed: cannot read the settings file '" << path << "'\n";
    return ExitUsage;
  }
  const std::vector<std::string> overrides = args.at("--set").asStringList();
  auto settings = parseNodeSettings(text.str(), path, readSecretFile, overrides);
  if (!settings) {
    for (const SettingError &it : settings.error())
      std::cerr << toString(it) << "\n";
    return ExitUsage;
  }
  startLog(settings->Log);
  if (settings->Edge.StoreAddress.empty()) {
    daemon::Daemon node(std::move(*settings));
    return serve(node);
  }
  daemon::Edge node(std::move(*settings), path, overrides);
  const int status = serve(node);
  daemon::flush(node.Log);
  return status;
}
