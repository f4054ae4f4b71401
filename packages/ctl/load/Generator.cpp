#include "ctl/load/Generator.h"

#include "base/Hash.h"
#include "base/Uuid.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace chervil::load {
namespace {

using Json = nlohmann::json;

std::uint32_t drawLog(Range range, Random &rng) {
  std::uniform_real_distribution<double> pick(std::log(range.Min), std::log(range.Max + 1.0));
  return std::clamp(static_cast<std::uint32_t>(std::exp(pick(rng))), range.Min, range.Max);
}

/// Text of the given length that depends only on the seed.
std::string filler(std::uint64_t seed, std::size_t length) {
  const testing::ExpectedAnswer words{.Seed = seed};
  std::string text;
  for (std::uint32_t i = 0; text.size() < length; ++i)
    text += testing::tokenText(words, i);
  text.resize(length);
  return text;
}

std::size_t drawWeighted(const std::vector<double> &weights, Random &rng) {
  std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
  return pick(rng);
}

std::size_t drawCustomer(const Workload &workload, const WorkKind &kind, Random &rng) {
  std::vector<double> weights;
  for (const WorkCustomer &it : workload.Customers) {
    const bool sends = kind.Customers.empty() ||
                       std::ranges::find(kind.Customers, it.Name) != kind.Customers.end();
    weights.push_back(sends ? it.Weight : 0);
  }
  return drawWeighted(weights, rng);
}

void fillModel(LoadRequest &request, const Workload &workload, const WorkKind &kind, Random &rng) {
  std::string prompt;
  if (kind.PrefixChars > 0) {
    const std::uint64_t seed =
        hashPair(workload.Customers[request.Customer].Name, kind.Name) + rng() % kind.Prefixes;
    prompt = filler(seed, kind.PrefixChars);
  }
  const std::size_t length = drawLog(kind.PromptChars, rng);
  prompt += filler(rng(), length);
  prompt.append(" [tokens=").append(std::to_string(drawLog(kind.Tokens, rng))).append("]");
  request.Method = "POST";
  request.Path = request.DirectPath = "/v1/chat/completions";
  request.Answer = testing::expectAnswer(kind.Model, {{"user", prompt}}, kind.MaxTokens);
  Json body = {{"model", kind.Model},
               {"stream", kind.Stream},
               {"messages", {{{"role", "user"}, {"content", std::move(prompt)}}}}};
  if (kind.MaxTokens > 0)
    body["max_tokens"] = kind.MaxTokens;
  request.Body = body.dump();
}

void fillService(LoadRequest &request, const WorkKind &kind, Random &rng) {
  constexpr std::uint64_t ids = 1000000;
  constexpr std::string_view placeholder = "{id}";
  request.Id = std::to_string(rng() % ids);
  request.Method = kind.Method;
  request.DirectPath = kind.Path;
  if (const std::size_t at = kind.Path.find(placeholder); at != std::string::npos)
    request.DirectPath.replace(at, placeholder.size(), request.Id);
  request.Path = "/v1/services/" + kind.ServiceName + request.DirectPath;
  if (kind.Method != "GET")
    request.Body = Json{{"id", request.Id}}.dump();
}

} // namespace

LoadRequest drawRequest(const Workload &workload, Random &rng, Random &keyRng, WallTime now) {
  LoadRequest request;
  request.Key = makeUuid7(now, keyRng);
  std::vector<double> weights;
  for (const WorkKind &it : workload.Kinds)
    weights.push_back(it.Weight);
  request.Kind = drawWeighted(weights, rng);
  const WorkKind &kind = workload.Kinds[request.Kind];
  request.Customer = drawCustomer(workload, kind, rng);
  if (kind.Service)
    fillService(request, kind, rng);
  else
    fillModel(request, workload, kind, rng);
  return request;
}

} // namespace chervil::load
