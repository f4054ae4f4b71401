#include "daemon/Refusal.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace chervil::daemon {
namespace {

// Callers are told to come back after a second unless the refusal knows better.
constexpr std::chrono::milliseconds DefaultRetryAfter{1000};

double retryAfter(const node::Refuse &refusal) {
  const auto wait = refusal.RetryAfter.count() > 0 ? refusal.RetryAfter : DefaultRetryAfter;
  return std::chrono::duration<double>(wait).count();
}

std::string sentence(ResultCode code) {
  std::string text = info(code).Name;
  std::replace(text.begin(), text.end(), '_', ' ');
  return text;
}

} // namespace

std::string refusalJson(const node::Refuse &refusal, std::string_view message) {
  const ResultCodeInfo &details = info(refusal.Code);
  nlohmann::json error = {
      {"code", static_cast<int>(refusal.Code)},
      {"name", details.Name},
      {"outcome", toString(refusal.Result)},
      {"retry", details.Retry},
      {"message", message.empty() ? sentence(refusal.Code) : std::string(message)}};
  if (details.Retry)
    error["retry_after_s"] = retryAfter(refusal);
  if (refusal.NextAttempt > 0)
    error["next_attempt"] = refusal.NextAttempt;
  if (!refusal.Key.empty())
    error["key"] = refusal.Key;
  return nlohmann::json{{"error", std::move(error)}}.dump(-1, ' ', false,
                                                          nlohmann::json::error_handler_t::replace);
}

net::HttpResponse refusalResponse(const node::Refuse &refusal, std::string_view message) {
  const ResultCodeInfo &details = info(refusal.Code);
  net::HttpResponse response;
  response.Status = details.HttpStatus;
  response.Body = refusalJson(refusal, message);
  if (details.Retry)
    response.Headers.emplace_back("Retry-After",
                                  std::to_string(static_cast<int>(std::ceil(retryAfter(refusal)))));
  if (!refusal.Key.empty())
    response.Headers.emplace_back("Idempotency-Key", refusal.Key);
  return response;
}

net::HttpResponse refusalResponse(const Error &error) {
  node::Refuse refusal;
  refusal.Code = error.Code;
  refusal.Result = info(error.Code).Result;
  return refusalResponse(refusal, error.Message);
}

} // namespace chervil::daemon
