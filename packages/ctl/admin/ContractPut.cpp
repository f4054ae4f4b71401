#include "ctl/admin/ContractPut.h"

#include "base/Uuid.h"
#include "ctl/admin/AdminCall.h"
#include "ctl/admin/ConflictView.h"
#include "net/Loop.h"

#include <charconv>
#include <cstdlib>
#include <ostream>

namespace chervil::ctl {
namespace {

using Json = nlohmann::json;

// A node needs up to 26 s when every call of a change times out (AdminCall.h).
constexpr std::chrono::milliseconds PutTimeout{40000};
constexpr int PutRounds = 3;

std::string newChangeId() {
  std::random_device source;
  Random rng((std::uint64_t{source()} << 32U) | source());
  return makeUuid7(net::readNow().Wall, rng);
}

std::string authorOf(const Args &args) {
  if (std::string author = textOf(args, "--author"); !author.empty())
    return author;
  const char *user = std::getenv("USER");
  return user == nullptr || *user == '\0' ? "unknown" : user;
}

tl::expected<std::uint64_t, int> parseVersion(const std::string &text, Streams io) {
  std::uint64_t value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec == std::errc{} && end == text.data() + text.size())
    return value;
  io.Err << "chervilctl: --base-version: expected an integer from 0, found \"" << text << "\"\n";
  return tl::make_unexpected(BadUsage);
}

/// The version the contract was edited from: stated, of the base file, or of the file itself.
tl::expected<std::uint64_t, int> baseVersion(const Args &args, const ContractFile &file,
                                             const std::optional<ContractFile> &base, Streams io) {
  if (const std::string text = textOf(args, "--base-version"); !text.empty())
    return parseVersion(text, io);
  if (base && base->Version)
    return *base->Version;
  if (file.Version)
    return *file.Version;
  io.Err << "chervilctl: the version the contract was edited from is not known; name it by "
            "--base-version (0 for a new contract) or --base\n";
  return tl::make_unexpected(BadUsage);
}

void showConflict(const Json &error, const std::optional<ContractFile> &base,
                  const ContractFile &file, Streams io) {
  const Json current = error.value("current", Json());
  if (!current.is_object()) {
    io.Out << "the contract does not exist\n";
    return;
  }
  const Result<Contract> theirs = parseContract(current.value("contract", Json()).dump());
  if (!theirs)
    return;
  io.Out << "theirs is version " << current.value("version", 0) << " by "
         << current.value("author", "") << "; yours was made from version "
         << error.value("base_version", 0) << "\n";
  printConflict(io.Out, base ? std::optional(base->Terms) : std::nullopt, *theirs, file.Terms);
}

int reportPut(const CallResult &result, const std::string &id, const AdminOptions &options,
              Streams io) {
  const int status = reportFailure(result, options, io);
  const Json error =
      result.Body.is_object() ? result.Body.value("error", Json::object()) : Json::object();
  if (result.MaybeReceived || error.value("outcome", "") == "unknown") {
    io.Err << "chervilctl: the change may take effect or have taken effect";
    if (error.value("written", false))
      io.Err << " (the document is written, the head follows)";
    io.Err << "; repeat it with --change-id " << id << "\n";
  }
  return status;
}

} // namespace

tl::expected<ContractFile, int> readContractFile(const std::string &path, Streams io) {
  const auto text = readInput(path, io);
  if (!text)
    return tl::make_unexpected(text.error());
  ContractFile file;
  std::string terms = *text;
  const Json json = Json::parse(*text, nullptr, false);
  if (json.is_object() && json.contains("contract")) {
    terms = json["contract"].dump();
    if (json.contains("version") && json["version"].is_number_unsigned())
      file.Version = json["version"].get<std::uint64_t>();
  }
  Result<Contract> contract = parseContract(terms);
  if (!contract) {
    io.Err << path << ": " << contract.error().Message << "\n";
    return tl::make_unexpected(BadUsage);
  }
  file.Terms = *std::move(contract);
  return file;
}

int putContract(const Args &args, const AdminOptions &options, Streams io) {
  const auto file = readContractFile(textOf(args, "FILE"), io);
  if (!file)
    return file.error();
  std::optional<ContractFile> base;
  if (const std::string path = textOf(args, "--base"); !path.empty()) {
    auto read = readContractFile(path, io);
    if (!read)
      return read.error();
    base = *std::move(read);
  }
  const auto version = baseVersion(args, *file, base, io);
  if (!version)
    return version.error();
  std::string id = textOf(args, "--change-id");
  if (id.empty())
    id = newChangeId();
  const Json body = {{"change_id", id},
                     {"author", authorOf(args)},
                     {"base_version", *version},
                     {"contract", Json::parse(serialise(file->Terms))}};
  const CallResult result = callAdmin(options, {.Method = "PUT",
                                                .Path = "contracts/" + encode(file->Terms.Customer),
                                                .Body = body.dump(),
                                                .Timeout = PutTimeout,
                                                .Rounds = PutRounds});
  if (result.Status != 200 || !result.Body.is_object()) {
    const int status = reportPut(result, id, options, io);
    if (result.Status == 409 && !options.Json && result.Body["error"].contains("proposed"))
      showConflict(result.Body["error"], base, *file, io);
    return status;
  }
  if (options.Json)
    io.Out << result.Body.dump(2) << "\n";
  else
    io.Out << file->Terms.Customer << " is at version " << result.Body.value("version", 0) << "\n";
  return Done;
}

} // namespace chervil::ctl
