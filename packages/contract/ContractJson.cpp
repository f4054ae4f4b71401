#include "contract/ContractJson.h"

#include <algorithm>
#include <array>
#include <set>

namespace chervil::detail {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view HashPrefix = "sha256:";
constexpr std::array<std::string_view, 6> Methods = {"GET",    "HEAD", "PUT",
                                                     "DELETE", "POST", "PATCH"};

std::string at(const std::string &path, std::size_t i) {
  return path + "[" + std::to_string(i) + "]";
}

bool isKey(std::string_view text) {
  if (text.starts_with(HashPrefix))
    return text.size() == HashPrefix.size() + 64 &&
           std::ranges::all_of(text.substr(HashPrefix.size()), [](char c) {
             return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
  return text.size() >= 16 && text.size() <= 256 &&
         std::ranges::all_of(text, [](char c) { return c > ' ' && c <= '~'; });
}

WorkLength readWork(JsonReader &reader, const Json &object, const std::string &path,
                    const char *key, WorkLength fallback) {
  const auto it = object.find(key);
  if (it == object.end())
    return fallback;
  if (*it == "short")
    return WorkLength::Short;
  if (*it == "long")
    return WorkLength::Long;
  addFault(reader, joinPath(path, key), "expected \"short\" or \"long\"");
  return fallback;
}

void checkUnique(JsonReader &reader, std::set<std::string> &names, const std::string &path,
                 const std::string &name) {
  if (!name.empty() && !names.insert(name).second)
    addFault(reader, joinPath(path, "name"), "\"" + name + "\" is listed twice");
}

ModelTerms readModel(JsonReader &reader, const Json &value, const std::string &path) {
  ModelTerms model;
  if (!checkKeys(reader, value, path, {"name", "default_max_tokens", "work", "hints"}))
    return model;
  model.Name = readName(reader, value, path, "name");
  model.DefaultMaxTokens = static_cast<std::uint32_t>(readInteger(
      reader, value, path, "default_max_tokens", {1, 1'000'000}, model.DefaultMaxTokens));
  model.Work = readWork(reader, value, path, "work", model.Work);
  const auto hints = value.find("hints");
  if (hints == value.end())
    return model;
  const std::string hintsPath = joinPath(path, "hints");
  if (!hints->is_object() || hints->size() > 64) {
    addFault(reader, hintsPath, "expected an object of 0 to 64 hints");
    return model;
  }
  for (const auto &it : hints->items()) {
    if (!isName(it.key()))
      addFault(reader, joinPath(hintsPath, it.key()),
               "expected a hint of 1 to 64 lower-case letters, digits, '.', '_' or '-'");
    model.Hints[it.key()] = readWork(reader, *hints, hintsPath, it.key().c_str(), WorkLength::Long);
  }
  return model;
}

CallRule readRule(JsonReader &reader, const Json &value, const std::string &path) {
  CallRule rule;
  if (!checkKeys(reader, value, path, {"methods", "path_prefix", "repeatable", "timeout", "work"}))
    return rule;
  if (const Json *list = readArray(reader, value, path, "methods", {0, Methods.size()}, false)) {
    for (std::size_t i = 0; i < list->size(); ++i) {
      const Json &it = (*list)[i];
      if (it.is_string() &&
          std::ranges::find(Methods, it.get_ref<const std::string &>()) != Methods.end())
        rule.Methods.push_back(it.get<std::string>());
      else
        addFault(reader, at(joinPath(path, "methods"), i),
                 "expected one of GET, HEAD, PUT, DELETE, POST, PATCH");
    }
  }
  rule.PathPrefix = readText(reader, value, path, "path_prefix", {1, 256}, rule.PathPrefix);
  if (!rule.PathPrefix.empty() && !isPlainPath(rule.PathPrefix))
    addFault(reader, joinPath(path, "path_prefix"),
             "expected a path that starts with '/' and has no query, dot segments, empty segments, "
             "path parameters or needless escapes");
  rule.Repeatable = readFlag(reader, value, path, "repeatable");
  rule.Timeout = readDuration(reader, value, path, "timeout", {1ms, 1h});
  rule.Work = readWork(reader, value, path, "work", rule.Work);
  return rule;
}

ServiceTerms readService(JsonReader &reader, const Json &value, const std::string &path) {
  ServiceTerms service;
  if (!checkKeys(reader, value, path, {"name", "backends", "timeout", "rules"}))
    return service;
  service.Name = readName(reader, value, path, "name");
  service.Backends = readName(reader, value, path, "backends");
  service.Timeout =
      readDuration(reader, value, path, "timeout", {1ms, 1h}).value_or(service.Timeout);
  if (const Json *rules = readArray(reader, value, path, "rules", {0, 256}, false))
    for (std::size_t i = 0; i < rules->size(); ++i)
      service.Rules.push_back(readRule(reader, (*rules)[i], at(joinPath(path, "rules"), i)));
  return service;
}

std::vector<std::string> readKeys(JsonReader &reader, const Json &value, const std::string &path) {
  std::vector<std::string> keys;
  const Json *list = readArray(reader, value, path, "keys", {1, 16}, true);
  for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
    const Json &it = (*list)[i];
    if (it.is_string() && isKey(it.get_ref<const std::string &>()))
      keys.push_back(it.get<std::string>());
    else
      addFault(reader, at(joinPath(path, "keys"), i),
               "expected \"sha256:\" and 64 lower-case hex digits, or 16 to 256 printable "
               "characters without spaces");
  }
  return keys;
}

ContractLimits readLimits(JsonReader &reader, const Json &object, const std::string &path) {
  ContractLimits limits;
  const std::string here = joinPath(path, "limits");
  const auto it = object.find("limits");
  if (it == object.end()) {
    addFault(reader, here, "is missing; expected an object");
    return limits;
  }
  if (!checkKeys(reader, *it, here, {"requests_per_second", "tokens_per_second", "streams"}))
    return limits;
  limits.RequestsPerSecond =
      readNumber(reader, *it, here, "requests_per_second", {0.01, 1e6}, std::nullopt);
  limits.TokensPerSecond =
      readNumber(reader, *it, here, "tokens_per_second", {1, 1e9}, std::nullopt);
  limits.Streams = static_cast<std::uint32_t>(
      readInteger(reader, *it, here, "streams", {1, 1'000'000}, std::nullopt));
  return limits;
}

LatencyTarget readLatency(JsonReader &reader, const Json &object, const std::string &path) {
  LatencyTarget target;
  const std::string here = joinPath(path, "latency");
  const auto it = object.find("latency");
  if (it == object.end() || !checkKeys(reader, *it, here, {"first_token", "between_tokens"}))
    return target;
  target.FirstToken =
      readDuration(reader, *it, here, "first_token", {1ms, 10min}).value_or(target.FirstToken);
  target.BetweenTokens =
      readDuration(reader, *it, here, "between_tokens", {1ms, 1min}).value_or(target.BetweenTokens);
  return target;
}

Json toJson(const ModelTerms &model) {
  Json hints = Json::object();
  for (const auto &[hint, length] : model.Hints)
    hints[hint] = toString(length);
  return {{"name", model.Name},
          {"default_max_tokens", model.DefaultMaxTokens},
          {"work", toString(model.Work)},
          {"hints", std::move(hints)}};
}

Json toJson(const CallRule &rule) {
  Json value{
      {"methods", rule.Methods}, {"path_prefix", rule.PathPrefix}, {"work", toString(rule.Work)}};
  if (rule.Repeatable)
    value["repeatable"] = *rule.Repeatable;
  if (rule.Timeout)
    value["timeout"] = formatDuration(*rule.Timeout);
  return value;
}

Json toJson(const ServiceTerms &service) {
  Json rules = Json::array();
  for (const CallRule &it : service.Rules)
    rules.push_back(toJson(it));
  return {{"name", service.Name},
          {"backends", service.Backends},
          {"timeout", formatDuration(service.Timeout)},
          {"rules", std::move(rules)}};
}

} // namespace

Contract readContract(JsonReader &reader, const Json &value, const std::string &path) {
  Contract contract;
  if (!checkKeys(reader, value, path,
                 {"customer", "keys", "limits", "latency", "cost_per_hour", "priority", "models",
                  "services"}))
    return contract;
  contract.Customer = readName(reader, value, path, "customer");
  contract.Keys = readKeys(reader, value, path);
  contract.Limits = readLimits(reader, value, path);
  contract.Latency = readLatency(reader, value, path);
  contract.CostPerHour = readNumber(reader, value, path, "cost_per_hour", {0, 1e9}, std::nullopt);
  contract.Priority = static_cast<std::uint8_t>(
      readInteger(reader, value, path, "priority", {0, 9}, contract.Priority));
  std::set<std::string> models;
  if (const Json *list = readArray(reader, value, path, "models", {0, 256}, false)) {
    for (std::size_t i = 0; i < list->size(); ++i) {
      const std::string here = at(joinPath(path, "models"), i);
      contract.Models.push_back(readModel(reader, (*list)[i], here));
      checkUnique(reader, models, here, contract.Models.back().Name);
    }
  }
  std::set<std::string> services;
  if (const Json *list = readArray(reader, value, path, "services", {0, 256}, false)) {
    for (std::size_t i = 0; i < list->size(); ++i) {
      const std::string here = at(joinPath(path, "services"), i);
      contract.Services.push_back(readService(reader, (*list)[i], here));
      checkUnique(reader, services, here, contract.Services.back().Name);
    }
  }
  return contract;
}

Json toJson(const Contract &contract) {
  Json models = Json::array();
  for (const ModelTerms &it : contract.Models)
    models.push_back(toJson(it));
  Json services = Json::array();
  for (const ServiceTerms &it : contract.Services)
    services.push_back(toJson(it));
  return {{"customer", contract.Customer},
          {"keys", contract.Keys},
          {"limits",
           {{"requests_per_second", contract.Limits.RequestsPerSecond},
            {"tokens_per_second", contract.Limits.TokensPerSecond},
            {"streams", contract.Limits.Streams}}},
          {"latency",
           {{"first_token", formatDuration(contract.Latency.FirstToken)},
            {"between_tokens", formatDuration(contract.Latency.BetweenTokens)}}},
          {"cost_per_hour", contract.CostPerHour},
          {"priority", contract.Priority},
          {"models", std::move(models)},
          {"services", std::move(services)}};
}

tl::unexpected<Error> faultsError(const JsonReader &reader) {
  std::string message;
  for (const std::string &it : reader.Faults)
    message += (message.empty() ? "" : "\n") + it;
  return fail(ResultCode::BadContract, std::move(message));
}

} // namespace chervil::detail
