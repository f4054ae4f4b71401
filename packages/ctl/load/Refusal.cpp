#include "ctl/load/Refusal.h"

#include <nlohmann/json.hpp>

namespace chervil::load {

std::optional<Refusal> parseRefusal(std::string_view text) {
  using Json = nlohmann::json;
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("error") || !json.at("error").is_object())
    return std::nullopt;
  const Json &error = json.at("error");
  Refusal refusal;
  if (const auto it = error.find("code"); it != error.end() && it->is_number_integer())
    refusal.Code = it->get<int>();
  if (const auto it = error.find("name"); it != error.end() && it->is_string())
    refusal.Name = it->get<std::string>();
  if (const auto it = error.find("retry"); it != error.end() && it->is_boolean())
    refusal.Retry = it->get<bool>();
  if (const auto it = error.find("retry_after_s"); it != error.end() && it->is_number())
    refusal.RetryAfter =
        std::chrono::milliseconds(static_cast<std::int64_t>(it->get<double>() * 1000));
  if (const auto it = error.find("outcome"); it != error.end()) {
    if (*it == "not_run")
      refusal.Result = Outcome::NotRun;
    else if (*it == "ran")
      refusal.Result = Outcome::Ran;
  }
  return refusal;
}

} // namespace chervil::load
