#include "testing/standin/PlatformServer.h"

namespace chervil::standin {
namespace {

constexpr std::string_view KeyPath = "/v1/kv/";
constexpr std::string_view LeasePath = "/v1/leases/";

void answerKv(PlatformServer &server, std::uint64_t id, int status, const Json &json) {
  detail::answer(server, PlatformService::Kv, id, status, json);
}

/// Ends a write that took effect, or loses its answer.
void answerWrite(PlatformServer &server, std::uint64_t id, const Json &json) {
  ++server.Counters.Writes;
  if (server.AnswersToLose > 0) {
    --server.AnswersToLose;
    ++server.Counters.LostAnswers;
    net::abortStream(*server.Http, id);
  } else {
    answerKv(server, id, 200, json);
  }
  detail::answerPolls(server, PollKind::Kv);
}

void answerChange(PlatformServer &server, std::uint64_t id, const KvReply &result) {
  switch (result.Status) {
  case KvStatus::Done:
    return answerWrite(server, id, {{"revision", result.Revision}});
  case KvStatus::Conflict:
    ++server.Counters.Conflicts;
    return answerKv(server, id, 409, {{"revision", result.Revision}});
  case KvStatus::NoLease:
    return answerKv(server, id, 404, {{"error", "lease"}});
  }
}

void serveList(PlatformServer &server, const net::HttpRequest &request) {
  ++server.Counters.Lists;
  const std::string prefix = text(request, "prefix");
  Json items = Json::array();
  for (auto it = server.Kv.Items.lower_bound(prefix);
       it != server.Kv.Items.end() && it->first.starts_with(prefix); ++it)
    items.push_back(
        {{"key", it->first}, {"value", it->second.Value}, {"revision", it->second.Revision}});
  answerKv(server, request.Id, 200,
           {{"revision", server.Kv.Revision}, {"items", std::move(items)}});
}

void serveKey(PlatformServer &server, const net::HttpRequest &request) {
  const std::string key = request.Path.substr(KeyPath.size());
  std::optional<std::uint64_t> ifRevision;
  if (net::query(request, "if_revision")) {
    const auto stated = number<std::int64_t>(request, "if_revision", -1);
    if (stated < 0)
      return answerKv(server, request.Id, 400, {{"error", "if_revision"}});
    ifRevision = static_cast<std::uint64_t>(stated);
  }
  if (request.Method == "GET") {
    ++server.Counters.Reads;
    const auto it = server.Kv.Items.find(key);
    if (it == server.Kv.Items.end())
      return answerKv(server, request.Id, 404, {{"error", "not_found"}});
    return answerKv(server, request.Id, 200,
                    {{"key", key}, {"value", it->second.Value}, {"revision", it->second.Revision}});
  }
  if (request.Method == "PUT") {
    if (request.BodyTooLarge)
      return answerKv(server, request.Id, 413, {{"error", "too_large"}});
    return answerChange(server, request.Id,
                        put(server.Kv, key, request.Body,
                            {.IfRevision = ifRevision, .Lease = text(request, "lease")}));
  }
  if (request.Method == "DELETE")
    return answerChange(server, request.Id, remove(server.Kv, key, ifRevision));
  answerKv(server, request.Id, 405, {{"error", "method"}});
}

void serveLease(PlatformServer &server, const net::HttpRequest &request) {
  constexpr std::string_view keepAlivePath = "/keepalive";
  ++server.Counters.LeaseCalls;
  const TimePoint now = net::readNow().Steady;
  if (request.Path == "/v1/leases" && request.Method == "POST") {
    const auto ttl = std::chrono::milliseconds(number<std::int64_t>(request, "ttl_ms", 0));
    if (ttl.count() <= 0)
      return answerKv(server, request.Id, 400, {{"error", "ttl_ms"}});
    return answerWrite(server, request.Id,
                       {{"id", addLease(server.Kv, ttl, now)}, {"ttl_ms", ttl.count()}});
  }
  if (!request.Path.starts_with(LeasePath))
    return answerKv(server, request.Id, 404, {{"error", "path"}});
  std::string id = request.Path.substr(LeasePath.size());
  if (request.Method == "POST" && id.ends_with(keepAlivePath)) {
    id.resize(id.size() - keepAlivePath.size());
    const auto ttl = keepAlive(server.Kv, id, now);
    if (!ttl)
      return answerKv(server, request.Id, 404, {{"error", "lease"}});
    return answerWrite(server, request.Id, {{"id", id}, {"ttl_ms", ttl->count()}});
  }
  if (request.Method == "DELETE") {
    if (!dropLease(server.Kv, id))
      return answerKv(server, request.Id, 404, {{"error", "lease"}});
    return answerWrite(server, request.Id, {{"revision", server.Kv.Revision}});
  }
  answerKv(server, request.Id, 405, {{"error", "method"}});
}

} // namespace

void detail::serveKv(PlatformServer &server, const net::HttpRequest &request) {
  if (expireLeases(server.Kv, net::readNow().Steady))
    answerPolls(server, PollKind::Kv);
  if (request.Path == "/v1/kv" && request.Method == "GET")
    return serveList(server, request);
  if (request.Path.starts_with(KeyPath))
    return serveKey(server, request);
  if (request.Path.starts_with("/v1/leases"))
    return serveLease(server, request);
  if (request.Path == "/v1/watch" && request.Method == "GET") {
    ++server.Counters.Watches;
    return startPoll(server, request,
                     {.Kind = PollKind::Kv,
                      .Prefix = text(request, "prefix"),
                      .After = number<std::uint64_t>(request, "after", 0)});
  }
  answerKv(server, request.Id, 404, {{"error", "path"}});
}

} // namespace chervil::standin
