#include "daemon/CallerApi.h"

#include "daemon/ChatRequest.h"
#include "daemon/Refusal.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace chervil::daemon {
namespace {

using Json = nlohmann::json;

constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view EntryPath = "/v1/entry";
constexpr std::string_view ServicePrefix = "/v1/services/";
constexpr std::string_view RequestPrefix = "/v1/requests/";
constexpr std::string_view EventStream = "text/event-stream";

template <typename T> std::optional<T> parseNumber(std::string_view text) {
  T value{};
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc{} || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

void refuse(CallerApi &api, net::HttpServer &server, std::uint64_t id, const Error &error) {
  if (api.CountRefusal)
    api.CountRefusal(error.Code);
  net::respond(server, id, refusalResponse(error));
}

std::string bearer(const net::HttpRequest &request) {
  constexpr std::string_view scheme = "Bearer ";
  const auto value = net::header(request, "authorization").value_or("");
  return value.starts_with(scheme) ? std::string(value.substr(scheme.size())) : std::string();
}

void start(CallerApi &api, std::uint64_t id, bool stream) {
  CallerResponse &response = api.Open[id];
  response.Stream = stream;
}

void onEntry(CallerApi &api, net::HttpServer &server, const net::HttpRequest &request) {
  const auto caller = net::query(request, "caller");
  const std::string seed = caller ? std::string(*caller) : std::to_string(request.Id);
  const Json body = {{"addresses", api.Addresses(seed)}, {"ttl_ms", api.EntryTtl.count()}};
  net::respond(server, request.Id, {.Body = body.dump()});
}

/// Fills what all requests that run have in common; false after a refusal.
bool fillCommon(CallerApi &api, net::HttpServer &server, const net::HttpRequest &http,
                node::CallerRequest &request) {
  request.Handle = http.Id;
  request.Token = bearer(http);
  request.Key = net::header(http, "idempotency-key").value_or("");
  request.Hint = net::header(http, "chervil-hint").value_or("");
  if (const auto attempt = net::header(http, "idempotency-attempt")) {
    const auto n = parseNumber<std::uint32_t>(*attempt);
    if (!n || *n == 0) {
      refuse(api, server, http.Id,
             {ResultCode::BadRequest, "Idempotency-Attempt: an integer from 1"});
      return false;
    }
    request.Attempt = *n;
  }
  return true;
}

void onChat(CallerApi &api, net::HttpServer &server, const net::HttpRequest &http) {
  Result<node::CallerRequest> request = parseChatRequest(http.Body);
  if (!request) {
    refuse(api, server, http.Id, request.error());
    return;
  }
  if (!fillCommon(api, server, http, *request))
    return;
  start(api, http.Id, request->Spec.Stream);
  api.Deliver(std::move(*request));
}

void onService(CallerApi &api, net::HttpServer &server, const net::HttpRequest &http) {
  std::string_view rest = std::string_view(http.Path).substr(ServicePrefix.size());
  const std::size_t slash = rest.find('/');
  node::CallerRequest request;
  request.Spec.Kind = message::WorkKind::Service;
  request.Spec.Target = rest.substr(0, slash);
  request.Spec.Path = slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
  request.Spec.Method = http.Method;
  request.Spec.ContentType = net::header(http, "content-type").value_or("");
  request.Spec.Body = http.Body;
  if (!fillCommon(api, server, http, request))
    return;
  start(api, http.Id, false);
  api.Deliver(std::move(request));
}

void onFetch(CallerApi &api, net::HttpServer &server, const net::HttpRequest &http) {
  node::CallerFetch fetch;
  fetch.Handle = http.Id;
  fetch.Token = bearer(http);
  fetch.Key = http.Path.substr(RequestPrefix.size());
  const auto offset = net::query(http, "offset");
  if (offset) {
    const auto n = parseNumber<std::uint64_t>(*offset);
    if (!n) {
      refuse(api, server, http.Id, {ResultCode::BadOffset, "offset: a number of bytes"});
      return;
    }
    fetch.Offset = *n;
  }
  const auto accept = net::header(http, "accept").value_or("");
  fetch.Stream = accept.find(EventStream) != std::string_view::npos ||
                 net::query(http, "stream").value_or("") == "true";
  start(api, http.Id, fetch.Stream);
  CallerResponse &response = api.Open[http.Id];
  response.FirstOffset = fetch.Offset;
  response.Writer.Offset = fetch.Offset;
  api.Deliver(std::move(fetch));
}

/// Headers of every response to a request that was accepted.
net::NamedValues commonHeaders(const CallerResponse &response) {
  net::NamedValues headers = {{"Idempotency-Key", response.Writer.Key},
                              {"Chervil-Copies", toString(response.Where)}};
  if (response.Replayed)
    headers.emplace_back("Idempotent-Replay", "true");
  return headers;
}

std::string completionJson(const CallerResponse &response, std::uint32_t tokens) {
  const Json json = {{"id", response.Writer.Key},
                     {"object", "chat.completion"},
                     {"model", response.Writer.Model},
                     {"choices",
                      {{{"index", 0},
                        {"message", {{"role", "assistant"}, {"content", response.Body}}},
                        {"finish_reason", "stop"}}}},
                     {"usage", {{"completion_tokens", tokens}}}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

CallerResponse *find(CallerApi &api, std::uint64_t handle) {
  const auto it = api.Open.find(handle);
  return it == api.Open.end() ? nullptr : &it->second;
}

} // namespace

void onRequest(CallerApi &api, net::HttpServer &server, const net::HttpRequest &request) {
  if (request.BodyTooLarge) {
    refuse(api, server, request.Id, {ResultCode::BodyTooLarge, "the body is too large"});
    return;
  }
  const std::string_view path = request.Path;
  const bool get = request.Method == "GET";
  if (path == ChatPath && request.Method == "POST")
    onChat(api, server, request);
  else if (path.starts_with(ServicePrefix) && path.size() > ServicePrefix.size())
    onService(api, server, request);
  else if (path == EntryPath && get)
    onEntry(api, server, request);
  else if (path.starts_with(RequestPrefix) && path.size() > RequestPrefix.size() && get)
    onFetch(api, server, request);
  else if (path == ChatPath || path == EntryPath || path.starts_with(RequestPrefix))
    refuse(api, server, request.Id, {ResultCode::WrongMethod, "wrong method for this path"});
  else
    refuse(api, server, request.Id, {ResultCode::NotFound, "no such path"});
}

void onGone(CallerApi &api, std::uint64_t handle) {
  if (api.Open.erase(handle) > 0)
    api.Deliver(node::CallerDisconnected{handle});
}

void show(CallerApi &api, net::HttpServer &server, const node::Begin &effect) {
  CallerResponse *response = find(api, effect.Handle);
  if (response == nullptr)
    return;
  response->Begun = true;
  response->Writer.Key = effect.Key;
  response->Writer.Model = effect.Model;
  response->Replayed = effect.Replayed;
  response->Where = effect.Placement;
  if (response->Stream)
    net::beginStream(
        server, effect.Handle,
        {.ContentType = std::string(EventStream), .Headers = commonHeaders(*response)});
}

void show(CallerApi &api, net::HttpServer &server, const node::Bytes &effect) {
  CallerResponse *response = find(api, effect.Handle);
  if (response == nullptr)
    return;
  if (response->Stream)
    net::writeStream(server, effect.Handle,
                     writeText(response->Writer, effect.Offset, effect.Text));
  else
    response->Body += effect.Text;
}

void show(CallerApi &api, net::HttpServer &server, const node::Finish &effect) {
  CallerResponse *response = find(api, effect.Handle);
  if (response == nullptr)
    return;
  if (response->Stream) {
    net::writeStream(server, effect.Handle, writeEnd(response->Writer, effect.Tokens));
    net::endStream(server, effect.Handle);
  } else if (effect.ContentType.starts_with(EventStream)) {
    net::respond(
        server, effect.Handle,
        {.Headers = commonHeaders(*response), .Body = completionJson(*response, effect.Tokens)});
  } else {
    net::respond(server, effect.Handle,
                 {.Status = effect.Status == 0 ? 200 : effect.Status,
                  .ContentType =
                      effect.ContentType.empty() ? "application/octet-stream" : effect.ContentType,
                  .Headers = commonHeaders(*response),
                  .Body = std::move(response->Body)});
  }
  api.Open.erase(effect.Handle);
}

void show(CallerApi &api, net::HttpServer &server, const node::Refuse &effect) {
  const CallerResponse *response = find(api, effect.Handle);
  if (response == nullptr)
    return;
  if (response->Stream && response->Begun) {
    // No terminator follows, so the answer cannot pass for a whole one.
    net::writeStream(server, effect.Handle, writeEvent("error", refusalJson(effect)));
    net::endStream(server, effect.Handle);
  } else {
    net::respond(server, effect.Handle, refusalResponse(effect));
  }
  api.Open.erase(effect.Handle);
}

void show(CallerApi &api, net::HttpServer &server, const node::Moved &effect) {
  const CallerResponse *response = find(api, effect.Handle);
  if (response == nullptr)
    return;
  const Json moved = {
      {"key", effect.Key}, {"offset", effect.Offset}, {"addresses", effect.Addresses}};
  if (response->Stream && response->Begun) {
    net::writeStream(server, effect.Handle, writeEvent("moved", moved.dump()));
    net::endStream(server, effect.Handle);
  } else {
    node::Refuse refusal;
    refusal.Code = ResultCode::HandedOver;
    refusal.Result = Outcome::Unknown;
    refusal.Key = effect.Key;
    refusal.RetryAfter = std::chrono::milliseconds(100);
    net::HttpResponse out = refusalResponse(refusal);
    Json body = Json::parse(out.Body);
    body["moved"] = moved;
    out.Body = body.dump();
    net::respond(server, effect.Handle, std::move(out));
  }
  api.Open.erase(effect.Handle);
}

} // namespace chervil::daemon
