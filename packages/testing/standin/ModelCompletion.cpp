#include "testing/standin/ModelServer.h"

#include <algorithm>
#include <utility>

namespace chervil::standin {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t MaxLog = 20000;
constexpr std::size_t MaxCacheEvents = 4096;
/// How long the KV cache of an ended request can be exported.
constexpr Duration ExportKept = 60s;

std::int64_t wallMs() { return net::readNow().Wall.time_since_epoch().count(); }

Json usage(const EngineRequest &it) {
  return {{"prompt_tokens", it.Answer.PromptTokens},
          {"completion_tokens", it.Produced},
          {"total_tokens", it.Answer.PromptTokens + it.Produced},
          {"cached_tokens", it.Cached}};
}

const char *finishReason(const EngineRequest &it) { return it.Answer.Cut ? "length" : "stop"; }

void publishCacheChanges(ModelServer &server) {
  const TimePoint shownAt = net::readNow().Steady + server.Options.CacheEventDelay;
  std::bernoulli_distribution lost(server.Options.CacheEventLoss);
  for (const CacheChange &it : std::exchange(server.Cache.Changes, {})) {
    const std::uint64_t seq = ++server.CacheSeq;
    if (!lost(server.Rng))
      server.CacheEvents.push_back({seq, shownAt, it});
  }
  while (server.CacheEvents.size() > MaxCacheEvents)
    server.CacheEvents.pop_front();
}

/// Forgets an ended request but keeps its log entry and, for a while, its KV cache.
void forget(ModelServer &server, const EngineRequest &it, const char *state) {
  const TimePoint now = net::readNow().Steady;
  EngineLogEntry &entry = server.Log[it.Id];
  entry.State = state;
  entry.EndedMs = wallMs();
  entry.Tokens = it.Produced - it.Continued;
  while (server.Log.size() > MaxLog)
    server.Log.erase(server.Log.begin());
  std::erase_if(server.Ended, [&](const auto &old) { return old.second.At + ExportKept < now; });
  if (it.Running)
    server.Ended[it.RequestId] = {now, {it.RequestId, it.Answer.PromptTokens, it.Produced}};
  server.ByRequestId.erase(it.RequestId);
  server.ByHttpId.erase(it.HttpId);
  server.Requests.erase(it.Id);
}

void finishRequest(ModelServer &server, EngineRequest &it) {
  ++server.Counters.Done;
  if (it.Stream) {
    const Json last = {
        {"choices",
         {{{"index", 0}, {"delta", Json::object()}, {"finish_reason", finishReason(it)}}}},
        {"usage", usage(it)}};
    net::writeStream(*server.Http, it.HttpId, "data: " + dump(last) + "\n\ndata: [DONE]\n\n");
    net::endStream(*server.Http, it.HttpId);
  } else {
    detail::answer(server, it.HttpId, 200,
                   {{"id", it.RequestId},
                    {"object", "chat.completion"},
                    {"model", it.Model},
                    {"choices",
                     {{{"index", 0},
                       {"message", {{"role", "assistant"}, {"content", it.Text}}},
                       {"finish_reason", finishReason(it)}}}},
                    {"usage", usage(it)}});
  }
  forget(server, it, "done");
}

void produce(ModelServer &server, EngineRequest &it, std::uint32_t token) {
  ++server.Counters.Tokens;
  it.Produced = token + 1;
  const std::string text = testing::tokenText(it.Answer, token);
  if (!it.Stream) {
    it.Text += text;
    return;
  }
  // Token texts need no escaping.
  net::writeStream(*server.Http, it.HttpId,
                   R"(data: {"choices":[{"index":0,"delta":{"content":")" + text + "\"}}]}\n\n");
}

void endStep(ModelServer &server) {
  if (server.Frozen) {
    server.StepDue = true;
    return;
  }
  server.StepRunning = false;
  for (const BatchEvent &e : finishStep(server.Work)) {
    const auto found = server.Requests.find(e.Id);
    if (found == server.Requests.end())
      continue;
    EngineRequest &it = found->second;
    switch (e.Kind) {
    case BatchEventKind::Prefilled:
      storePrefix(server.Cache, it.Chain);
      publishCacheChanges(server);
      break;
    case BatchEventKind::Token:
      produce(server, it, e.Token);
      break;
    case BatchEventKind::Done:
      finishRequest(server, it);
      break;
    }
  }
  detail::pump(server);
}

/// Sets what is left to compute once `imported` of prompt and continuation are present.
void setPrefill(ModelServer &server, EngineRequest &it, BatchWork &work, std::uint32_t imported) {
  const std::uint32_t context = it.Answer.PromptTokens + it.Continued;
  const std::uint32_t present = std::max(it.Cached, std::min(imported, context));
  // One token at least is computed, to produce the next one.
  work.PrefillLeft = std::max(1U, context - present);
  work.Blocked = false;
  server.Counters.PrefillTokens += work.PrefillLeft;
  server.Counters.CachedTokens += it.Cached;
  server.Counters.ImportedTokens += present - it.Cached;
  server.Counters.RecomputedTokens += std::min(context - present, it.Continued);
}

/// Fetches the KV cache from the engine that exported it.
void import(ModelServer &server, EngineRequest &it) {
  const std::size_t slash = it.ImportHandle.find('/');
  const std::string url = "http://" + it.ImportHandle.substr(0, slash) + "/v1/kv/blob" +
                          (slash == std::string::npos ? "" : it.ImportHandle.substr(slash));
  auto body = std::make_shared<std::string>();
  net::startCall(
      *server.Client, {.Url = url, .TotalTimeout = 10s},
      {.OnHead = {},
       .OnData = [body](std::string_view bytes) { *body += bytes; },
       .OnEnd =
           [&server, body, id = it.Id](const net::HttpEnd &end) {
             const auto found = server.Requests.find(id);
             BatchWork *work = findRunning(server.Work, id);
             if (found == server.Requests.end() || work == nullptr)
               return;
             const auto blob = parseObject(*body);
             const bool whole = end.Failure == net::HttpFailure::None && end.Status == 200 && blob;
             const std::uint32_t tokens =
                 whole ? member(*blob, "prompt_tokens", 0U) + member(*blob, "tokens", 0U) : 0;
             setPrefill(server, found->second, *work, tokens);
             detail::pump(server);
           }});
}

void start(ModelServer &server, std::uint64_t id) {
  EngineRequest &it = server.Requests.at(id);
  if (it.HasMarker)
    detail::crash("prompt with the crash marker");
  it.Running = true;
  EngineLogEntry &entry = server.Log[id];
  entry.State = "running";
  entry.StartedMs = wallMs();
  it.Cached = std::min(touchPrefix(server.Cache, it.Chain), it.Answer.PromptTokens);
  BatchWork &work = *findRunning(server.Work, id);
  if (it.ImportHandle.empty()) {
    setPrefill(server, it, work, 0);
  } else {
    work.Blocked = true;
    import(server, it);
  }
  if (it.Stream) {
    const TimePoint now = net::readNow().Steady;
    net::beginStream(*server.Http, it.HttpId,
                     {.ContentType = "text/event-stream",
                      .Headers = {{"X-Engine-Load", loadHeader(reported(server.Load, now), now)}},
                      .Body = {}});
  }
}

std::optional<std::vector<testing::PromptMessage>> parseMessages(const Json &body) {
  const auto it = body.find("messages");
  if (it == body.end() || !it->is_array() || it->empty())
    return std::nullopt;
  std::vector<testing::PromptMessage> messages;
  for (const Json &one : *it) {
    if (!one.is_object() || !one.contains("content") || !one.at("content").is_string())
      return std::nullopt;
    messages.push_back({member(one, "role", std::string()), one.at("content")});
  }
  return messages;
}

/// False if the text is not the stated number of tokens from the beginning of the answer.
bool takeContinuation(const Json &body, EngineRequest &it) {
  const auto found = body.find("continuation");
  if (found == body.end() || found->is_null())
    return true;
  if (!found->is_object())
    return false;
  it.Continued = member(*found, "tokens", 0U);
  it.Produced = it.Continued;
  return it.Continued <= it.Answer.Tokens &&
         member(*found, "text", std::string()) == testing::answerText(it.Answer, 0, it.Continued);
}

} // namespace

void detail::pump(ModelServer &server) {
  for (const std::uint64_t id : admit(server.Work))
    start(server, id);
  if (server.StepRunning || server.Frozen)
    return;
  const auto length = planStep(server.Work, server.Options.Batch);
  if (!length)
    return;
  server.StepRunning = true;
  net::after(server.Timers, *length, [&server] { endStep(server); });
}

void detail::cancelRequest(ModelServer &server, std::uint64_t id) {
  EngineRequest &it = server.Requests.at(id);
  ++server.Counters.Cancelled;
  removeWork(server.Work, id);
  if (it.Stream)
    net::abortStream(*server.Http, it.HttpId);
  else
    answer(server, it.HttpId, 499, {{"error", "cancelled"}});
  forget(server, it, "cancelled");
  pump(server);
}

void detail::serveCompletion(ModelServer &server, const net::HttpRequest &request) {
  const auto refuse = [&](int status, const char *what, net::NamedValues headers = {}) {
    answer(server, request.Id, status, {{"error", what}}, std::move(headers));
  };
  ++server.Counters.Requests;
  if (request.BodyTooLarge)
    return refuse(413, "too_large");
  const auto body = parseObject(request.Body);
  if (!body)
    return refuse(400, "json");
  const auto messages = parseMessages(*body);
  if (!messages)
    return refuse(400, "messages");
  EngineRequest it;
  it.Id = server.NextId++;
  it.HttpId = request.Id;
  it.Model = member(*body, "model", std::string());
  if (server.Loading.contains(it.Model))
    return refuse(503, "loading");
  if (std::ranges::find(server.Models, it.Model) == server.Models.end())
    return refuse(404, "model");
  it.RequestId = member(*body, "request_id", "r-" + std::to_string(it.Id));
  if (server.ByRequestId.contains(it.RequestId))
    return refuse(409, "request_id");
  if (server.Work.Queue.size() >= server.Options.Batch.MaxQueue)
    return refuse(429, "queue", {{"Retry-After", "1"}});
  it.Stream = member(*body, "stream", false);
  it.Answer = testing::expectAnswer(it.Model, *messages, member(*body, "max_tokens", 0U));
  if (!takeContinuation(*body, it)) {
    ++server.Counters.BadContinuations;
    return refuse(400, "continuation");
  }
  const std::string prompt = testing::promptText(*messages);
  it.Chain = prefixChain(it.Model, prompt);
  it.ImportHandle = member(*body, "kv_import", std::string());
  it.HasMarker = !server.Options.CrashMarker.empty() &&
                 prompt.find(server.Options.CrashMarker) != std::string::npos;
  const unsigned priority = std::min(member(*body, "priority", 1U), 9U);
  EngineLogEntry &entry = server.Log[it.Id];
  entry.RequestId = it.RequestId;
  entry.ArrivedMs = wallMs();
  entry.Continued = it.Continued;
  entry.Priority = priority;
  enqueue(server.Work,
          {.Id = it.Id, .Priority = priority, .Next = it.Continued, .End = it.Answer.Tokens});
  server.ByRequestId[it.RequestId] = it.Id;
  server.ByHttpId[it.HttpId] = it.Id;
  const std::uint64_t id = it.Id;
  server.Requests.emplace(id, std::move(it));
  pump(server);
}

} // namespace chervil::standin
