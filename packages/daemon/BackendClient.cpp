#include "daemon/BackendClient.h"

#include "daemon/ChatRequest.h"
#include "platform/EngineClient.h"

namespace chervil::daemon {
namespace {

using message::WorkKind;
using node::BackendFailure;

constexpr std::size_t MaxErrorBody = 4096;

std::string valueOf(const net::NamedValues &headers, std::string_view name) {
  for (const auto &[key, value] : headers)
    if (key == name)
      return value;
  return {};
}

/// True if another back end may well accept what this one refused.
bool isBusy(const BackendCall &call) {
  switch (call.Status) {
  case 429:
  case 503:
    return true;
  case 404:
  case 409:
    return call.Kind == WorkKind::Model;
  default:
    return false;
  }
}

void onHead(BackendClient &client, std::uint64_t id, int status, const net::NamedValues &headers) {
  const auto it = client.Open.find(id);
  if (it == client.Open.end())
    return;
  BackendCall &call = it->second;
  call.Status = static_cast<std::uint16_t>(status);
  call.ContentType = valueOf(headers, "content-type");
  if (const auto load = platform::parseEngineLoad(valueOf(headers, platform::EngineLoadHeader)))
    client.Deliver(node::BackendLoad{call.Backend, load->Running, load->Queued, load->Age});
  const bool isAnswer =
      call.Kind == WorkKind::Service ? !(call.Repeatable && isBusy(call)) : status == 200;
  if (isAnswer)
    client.Deliver(node::BackendHead{id, call.Status, call.ContentType});
}

void onModelBytes(BackendClient &client, std::uint64_t id, BackendCall &call,
                  std::string_view bytes) {
  StreamPart part = feed(call.Reader, bytes);
  call.Malformed = call.Malformed || part.Malformed;
  if (!part.Text.empty())
    client.Deliver(node::BackendBytes{id, std::move(part.Text), part.Tokens});
}

void onData(BackendClient &client, std::uint64_t id, std::string_view bytes) {
  const auto it = client.Open.find(id);
  if (it == client.Open.end())
    return;
  BackendCall &call = it->second;
  if (call.Kind == WorkKind::Model && call.Status == 200) {
    onModelBytes(client, id, call, bytes);
    return;
  }
  if (call.Kind == WorkKind::Service && !(call.Repeatable && isBusy(call))) {
    client.Deliver(node::BackendBytes{id, std::string(bytes), 0});
    return;
  }
  if (call.ErrorBody.size() < MaxErrorBody)
    call.ErrorBody.append(bytes.substr(0, MaxErrorBody));
}

BackendFailure failureOf(const BackendCall &call, const net::HttpEnd &end) {
  switch (end.Failure) {
  case net::HttpFailure::NotSent:
    return BackendFailure::NotSent;
  case net::HttpFailure::Timeout:
    return BackendFailure::Timeout;
  case net::HttpFailure::Broken:
    return BackendFailure::Died;
  case net::HttpFailure::None:
    break;
  }
  if (call.Kind == WorkKind::Service)
    return call.Repeatable && isBusy(call) ? BackendFailure::Refused : BackendFailure::None;
  if (isBusy(call))
    return BackendFailure::Refused;
  if (call.Status >= 400 && call.Status < 500)
    return BackendFailure::Rejected;
  // An answer without its terminator is not whole.
  const bool whole = call.Status == 200 && call.Reader.Done && !call.Malformed;
  return whole ? BackendFailure::None : BackendFailure::Died;
}

void onEnd(BackendClient &client, std::uint64_t id, const net::HttpEnd &end) {
  const auto it = client.Open.find(id);
  if (it == client.Open.end())
    return;
  const BackendCall call = std::move(it->second);
  client.Open.erase(it);
  client.Deliver(node::BackendEnd{id, failureOf(call, end), call.Status,
                                  end.Error.empty() ? call.ErrorBody : end.Error});
}

net::HttpCall httpCall(const BackendClient &client, const node::CallBackend &effect) {
  net::HttpCall http;
  http.ConnectTimeout = client.ConnectTimeout;
  if (effect.Spec.Kind == WorkKind::Model) {
    http.Method = "POST";
    http.Url = "http://" + effect.Address + "/v1/chat/completions";
    http.Headers = {{"Content-Type", "application/json"}};
    http.Body = engineBody(effect);
    http.IdleTimeout = client.IdleTimeout;
    return http;
  }
  http.Method = effect.Spec.Method;
  http.Url = "http://" + effect.Address + effect.Spec.Path;
  http.Headers = {{"Idempotency-Key", effect.Key}};
  if (!effect.Spec.ContentType.empty())
    http.Headers.emplace_back("Content-Type", effect.Spec.ContentType);
  http.Body = effect.Spec.Body;
  http.TotalTimeout = effect.Timeout;
  http.ReuseConnection = effect.Spec.Repeatable;
  return http;
}

} // namespace

void carryOut(BackendClient &client, const node::CallBackend &effect) {
  const std::uint64_t id = effect.Call;
  BackendCall &call = client.Open[id];
  call.Backend = effect.Backend;
  call.Address = effect.Address;
  call.RequestId = effect.RequestId;
  call.Kind = effect.Spec.Kind;
  call.Repeatable = effect.Spec.Repeatable;
  call.HttpCall = net::startCall(
      *client.Http, httpCall(client, effect),
      {.OnHead = [&client, id](int status,
                               const net::NamedValues &h) { onHead(client, id, status, h); },
       .OnData = [&client, id](std::string_view bytes) { onData(client, id, bytes); },
       .OnEnd = [&client, id](const net::HttpEnd &end) { onEnd(client, id, end); }});
}

void carryOut(BackendClient &client, const node::CancelBackend &effect) {
  const auto it = client.Open.find(effect.Call);
  if (it == client.Open.end())
    return;
  net::cancelCall(*client.Http, it->second.HttpCall);
  if (it->second.Kind == WorkKind::Model)
    platform::cancelRequest(*client.Platform, it->second.Address, it->second.RequestId,
                            [](const auto &) {});
  client.Open.erase(it);
}

void carryOut(BackendClient &client, const node::ExportKv &effect) {
  platform::exportKv(*client.Platform, effect.Address, effect.RequestId,
                     [&client, id = effect.Call](const auto &r) {
                       const bool done = r.Outcome == platform::CallOutcome::Done;
                       client.Deliver(node::KvExported{id, done ? r.Value.Handle : std::string()});
                     });
}

} // namespace chervil::daemon
