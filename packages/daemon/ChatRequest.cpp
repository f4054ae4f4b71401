#include "daemon/ChatRequest.h"

#include "base/Hash.h"

#include <nlohmann/json.hpp>

namespace chervil::daemon {
namespace {

using Json = nlohmann::json;

// docs/platform.md, 5.2: engines cache the prompt in blocks of 256 bytes, 64 tokens each.
constexpr std::size_t BlockBytes = 256;
constexpr std::size_t BytesPerToken = 4;
constexpr std::uint64_t MaxTokensBound = 1'000'000;
// Longer prompts are routed by their first blocks.
constexpr std::size_t MaxBlocks = 512;

std::string promptText(const Json &messages) {
  std::string text;
  for (const Json &it : messages) {
    text += it["role"].get_ref<const std::string &>();
    text += '\n';
    text += it["content"].get_ref<const std::string &>();
    text += '\n';
  }
  return text;
}

bool areMessages(const Json &value) {
  if (!value.is_array() || value.empty())
    return false;
  return std::all_of(value.begin(), value.end(), [](const Json &it) {
    return it.is_object() && it.contains("role") && it["role"].is_string() &&
           it.contains("content") && it["content"].is_string();
  });
}

std::vector<std::uint64_t> prefixHashes(std::string_view text, std::string_view model) {
  std::vector<std::uint64_t> hashes;
  std::uint64_t chain = hashBytes(model);
  for (std::size_t at = 0; at + BlockBytes <= text.size() && hashes.size() < MaxBlocks;
       at += BlockBytes) {
    chain = hashBytes(text.substr(at, BlockBytes), chain);
    hashes.push_back(chain);
  }
  return hashes;
}

} // namespace

Result<node::CallerRequest> parseChatRequest(std::string_view body) {
  const Json json = Json::parse(body, nullptr, false);
  if (json.is_discarded())
    return fail(ResultCode::BadJson, "the body is not JSON");
  if (!json.is_object())
    return fail(ResultCode::BadRequest, "the body is not an object");
  if (!json.contains("model") || !json["model"].is_string())
    return fail(ResultCode::BadRequest, "model: a string is required");
  if (!json.contains("messages") || !areMessages(json["messages"]))
    return fail(ResultCode::BadRequest, "messages: objects with role and content are required");
  node::CallerRequest request;
  request.Spec.Kind = message::WorkKind::Model;
  request.Spec.Target = json["model"].get<std::string>();
  request.Spec.Body = body;
  if (json.contains("stream")) {
    if (!json["stream"].is_boolean())
      return fail(ResultCode::BadRequest, "stream: true or false");
    request.Spec.Stream = json["stream"].get<bool>();
  }
  if (json.contains("max_tokens")) {
    const Json &value = json["max_tokens"];
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() == 0 ||
        value.get<std::uint64_t>() > MaxTokensBound)
      return fail(ResultCode::BadRequest, "max_tokens: an integer from 1 to 1000000");
    request.Spec.MaxTokens = value.get<std::uint32_t>();
  }
  const std::string text = promptText(json["messages"]);
  request.PrefixHashes = prefixHashes(text, request.Spec.Target);
  request.PromptTokens =
      static_cast<std::uint32_t>((text.size() + BytesPerToken - 1) / BytesPerToken);
  return request;
}

std::string engineBody(const node::CallBackend &call) {
  Json json = Json::parse(call.Spec.Body, nullptr, false);
  if (!json.is_object())
    json = Json::object();
  json["stream"] = true;
  json["request_id"] = call.RequestId;
  json["priority"] = call.Priority;
  // A repeated run of the same request samples the same tokens where the engine supports it.
  if (!json.contains("seed"))
    json["seed"] = hashBytes(call.Key) >> 33U;
  if (call.Spec.MaxTokens > 0)
    json["max_tokens"] = call.Spec.MaxTokens;
  if (call.ContinuationTokens > 0)
    json["continuation"] = {{"text", call.Continuation}, {"tokens", call.ContinuationTokens}};
  if (!call.KvHandle.empty())
    json["kv_import"] = call.KvHandle;
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace chervil::daemon
