#include "ctl/admin/AdminCall.h"
#include "ctl/admin/ContractPut.h"
#include "ctl/admin/ListCommand.h"

#include <ostream>

namespace chervil::ctl {
namespace {

using Json = nlohmann::json;

constexpr const char *Usage = R"(Shows and changes the customers' contracts.

Usage:
  chervilctl contracts list [options]
  chervilctl contracts get CUSTOMER [options]
  chervilctl contracts put FILE [options]
  chervilctl contracts diff FILE [OTHER] [options]
  chervilctl contracts history CUSTOMER [options]

get prints the document with its version; keep it as the base of a change. put changes a contract;
FILE holds the contract or a document printed by get. When another change was faster, put shows base,
theirs and yours. diff compares the contract in force with FILE, or FILE with OTHER. - reads the
standard input.

Options:
  --base FILE         Document the contract was edited from, for put.
  --base-version N    Version the contract was edited from; 0 for a new contract.
  --change-id ID      Repeat an earlier change whose outcome is not known.
  --author NAME       Name in the history; the name of the user if absent.)";

Row contractRow(const Json &it) {
  return {cell(it, "customer"), cell(it, "version"), cell(it, "author"), timeCell(it, "time_ms"),
          cell(it, "change_id")};
}

Row changeRow(const Json &it) {
  return {cell(it, "version"), cell(it, "author"), timeCell(it, "time_ms"), cell(it, "change_id")};
}

int getContract(const std::string &customer, const AdminOptions &options, Streams io) {
  const CallResult result = callAdmin(options, {.Path = "contracts/" + encode(customer)});
  if (result.Status != 200 || !result.Body.is_object())
    return reportFailure(result, options, io);
  if (result.Body.value("source", "") == "node")
    io.Err << "chervilctl: the key-value service does not answer; this is the copy of "
           << result.Address << " and may be older\n";
  io.Out << result.Body.dump(2) << "\n";
  return Done;
}

/// The contract in force of a customer. The error is the exit status.
tl::expected<Json, int> inForce(const std::string &customer, const AdminOptions &options,
                                Streams io) {
  const CallResult result = callAdmin(options, {.Path = "contracts/" + encode(customer)});
  if (result.Status != 200 || !result.Body.is_object())
    return tl::make_unexpected(reportFailure(result, options, io));
  return result.Body.value("contract", Json());
}

int diffContracts(const Args &args, const AdminOptions &options, Streams io) {
  const auto file = readContractFile(textOf(args, "FILE"), io);
  if (!file)
    return file.error();
  Json a = Json::parse(serialise(file->Terms));
  Json b;
  if (const std::string path = textOf(args, "OTHER"); !path.empty()) {
    const auto other = readContractFile(path, io);
    if (!other)
      return other.error();
    b = Json::parse(serialise(other->Terms));
  } else {
    b = std::move(a);
    const auto stored = inForce(file->Terms.Customer, options, io);
    if (!stored)
      return stored.error();
    a = *stored;
  }
  const CallResult result = callAdmin(
      options, {.Method = "POST", .Path = "diff", .Body = Json{{"a", a}, {"b", b}}.dump()});
  if (result.Status != 200 || !result.Body.is_object())
    return reportFailure(result, options, io);
  if (options.Json) {
    io.Out << result.Body.dump(2) << "\n";
    return Done;
  }
  for (const Json &it : result.Body.value("lines", Json::array()))
    io.Out << it.get<std::string>() << "\n";
  return Done;
}

} // namespace

int contractsCommand(const std::vector<std::string> &args, Streams io) {
  const auto parsed = parseArgs(std::string(Usage) + CommonOptions, args, io);
  if (!parsed)
    return parsed.error();
  const auto options = adminOptions(*parsed, io);
  if (!options)
    return options.error();
  const std::string customer = textOf(*parsed, "CUSTOMER");
  if (flagOf(*parsed, "list"))
    return showList({"contracts",
                     "contracts",
                     {"CUSTOMER", "VERSION", "AUTHOR", "TIME (UTC)", "CHANGE"},
                     contractRow},
                    *options, io);
  if (flagOf(*parsed, "history"))
    return showList({"contracts/" + encode(customer) + "/history",
                     "changes",
                     {"VERSION", "AUTHOR", "TIME (UTC)", "CHANGE"},
                     changeRow},
                    *options, io);
  if (flagOf(*parsed, "get"))
    return getContract(customer, *options, io);
  return flagOf(*parsed, "put") ? putContract(*parsed, *options, io)
                                : diffContracts(*parsed, *options, io);
}

} // namespace chervil::ctl
