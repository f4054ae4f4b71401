#include "contract/Contract.h"
#include "ctl/admin/Commands.h"
#include "settings/ParseNodeSettings.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace chervil::ctl {
namespace {

constexpr const char *Usage = R"(Checks a settings file or a contract without starting anything.

Usage:
  chervilctl check FILE [--json]
  chervilctl check --contract FILE [--json]

Options:
  --contract   FILE is a contract (JSON), alone or as printed by contracts get; otherwise it holds
               a node's settings.
  --json       Print JSON.
  -h --help    Show this text.

Every fault is printed. Exit status: 0 no fault, 2 faults, unreadable file or wrong usage.
)";

int checkSettings(const std::string &text, const std::string &path, bool json, Streams io) {
  const auto settings = parseNodeSettings(text, path);
  nlohmann::json faults = nlohmann::json::array();
  if (!settings)
    for (const SettingError &it : settings.error()) {
      if (json)
        faults.push_back({{"file", it.File},
                          {"line", it.Line},
                          {"section", it.Section},
                          {"key", it.Key},
                          {"problem", it.Problem},
                          {"found", it.Found},
                          {"accepted", it.Accepted}});
      else
        io.Err << toString(it) << "\n";
    }
  if (json)
    io.Out << nlohmann::json{{"faults", faults}}.dump(2) << "\n";
  return settings ? Done : BadUsage;
}

int checkContract(const std::string &text, const std::string &path, bool json, Streams io) {
  // As readContractFile() does, for documents printed by `contracts get`.
  const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
  const bool wrapped = document.is_object() && document.contains("contract");
  const Result<Contract> contract = parseContract(wrapped ? document["contract"].dump() : text);
  nlohmann::json faults = nlohmann::json::array();
  if (!contract) {
    std::size_t at = 0;
    const std::string &message = contract.error().Message;
    while (at <= message.size()) {
      const std::size_t end = std::min(message.find('\n', at), message.size());
      faults.push_back(message.substr(at, end - at));
      at = end + 1;
    }
  }
  if (json)
    io.Out << nlohmann::json{{"faults", faults}}.dump(2) << "\n";
  else
    for (const nlohmann::json &it : faults)
      io.Err << path << ": " << it.get<std::string>() << "\n";
  return contract ? Done : BadUsage;
}

} // namespace

int checkCommand(const std::vector<std::string> &args, Streams io) {
  const auto parsed = parseArgs(Usage, args, io);
  if (!parsed)
    return parsed.error();
  const std::string path = textOf(*parsed, "FILE");
  const auto text = readInput(path, io);
  if (!text)
    return text.error();
  const bool json = flagOf(*parsed, "--json");
  const int status = flagOf(*parsed, "--contract") ? checkContract(*text, path, json, io)
                                                   : checkSettings(*text, path, json, io);
  if (status == Done && !json)
    io.Out << path << ": no fault\n";
  return status;
}

} // namespace chervil::ctl
