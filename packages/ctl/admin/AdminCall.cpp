#include "ctl/admin/AdminCall.h"

#include "net/HttpClient.h"

#include <cctype>
#include <ostream>

namespace chervil::ctl {
namespace {

struct Attempt {
  net::HttpEnd End;
  std::string Text;
};

Attempt callOne(net::Loop &loop, net::HttpClient &client, const std::string &address,
                const AdminOptions &options, const AdminRequest &request) {
  Attempt attempt;
  net::startCall(client,
                 {.Method = request.Method,
                  .Url = "http://" + address + "/admin/v1/" + request.Path,
                  .Headers = {{"Authorization", "Bearer " + options.Token},
                              {"Content-Type", "application/json"}},
                  .Body = request.Body,
                  .TotalTimeout = request.Timeout,
                  .ReuseConnection = false},
                 {.OnHead = {},
                  .OnData = [&](std::string_view bytes) { attempt.Text += bytes; },
                  .OnEnd =
                      [&](const net::HttpEnd &end) {
                        attempt.End = end;
                        net::stop(loop);
                      }});
  net::run(loop);
  return attempt;
}

} // namespace

CallResult callAdmin(const AdminOptions &options, const AdminRequest &request) {
  net::Loop loop;
  const net::HttpClientPtr client = net::makeHttpClient(loop, {});
  CallResult result;
  for (int round = 0; round < request.Rounds; ++round) {
    for (const std::string &address : options.Addresses) {
      const Attempt attempt = callOne(loop, *client, address, options, request);
      if (attempt.End.Failure == net::HttpFailure::None) {
        result.Status = attempt.End.Status;
        result.Address = address;
        result.Body = nlohmann::json::parse(attempt.Text, nullptr, false);
        return result;
      }
      result.MaybeReceived =
          result.MaybeReceived || attempt.End.Failure != net::HttpFailure::NotSent;
      result.Failures += address + ": " + attempt.End.Error + "\n";
    }
  }
  return result;
}

int reportFailure(const CallResult &result, const AdminOptions &options, Streams io) {
  if (result.Status == 0) {
    io.Err << "chervilctl: no node answered\n" << result.Failures;
    return NotReachable;
  }
  if (!result.Body.is_object() || !result.Body.contains("error") ||
      !result.Body["error"].is_object()) {
    io.Err << "chervilctl: " << result.Address << " answered with status " << result.Status
           << " and no refusal\n";
    return Refused;
  }
  if (options.Json)
    io.Out << result.Body.dump(2) << "\n";
  const nlohmann::json &error = result.Body["error"];
  io.Err << "chervilctl: refused by " << result.Address << ": " << error.value("name", "unknown")
         << " (" << error.value("code", 0) << "): " << error.value("message", "") << "\n";
  return error.value("name", "") == "bad_contract" ? BadUsage : Refused;
}

std::string encode(const std::string &text) {
  std::string out;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '.' || c == '_' || c == '~') {
      out += c;
    } else {
      out += '%';
      out += "0123456789ABCDEF"[byte >> 4U];
      out += "0123456789ABCDEF"[byte & 0xfU];
    }
  }
  return out;
}

} // namespace chervil::ctl
