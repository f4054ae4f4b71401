#include "daemon/AdminApi.h"

#include "daemon/AdminDetail.h"
#include "daemon/Refusal.h"
#include "node/Node.h"

#include <array>
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

namespace chervil::daemon {
namespace {

using detail::Json;

constexpr std::string_view AdminPrefix = "/admin/v1/";
constexpr std::string_view ContractsPrefix = "contracts/";
constexpr std::string_view HistorySuffix = "/history";
constexpr std::string_view RequestsPrefix = "requests/";

using Digest = std::array<unsigned char, 32>;

bool digestOf(std::string_view text, Digest &out) {
  return gnutls_hash_fast(GNUTLS_DIG_SHA256, text.data(), text.size(), out.data()) == 0;
}

/// Compares digests, so that the time taken depends neither on the bytes nor on the length of the
/// token.
bool isAuthorised(const AdminApi &api, const net::HttpRequest &request) {
  constexpr std::string_view scheme = "Bearer ";
  const auto value = net::header(request, "authorization").value_or("");
  if (api.Token.empty() || !value.starts_with(scheme))
    return false;
  Digest given{};
  Digest expected{};
  return digestOf(value.substr(scheme.size()), given) && digestOf(api.Token, expected) &&
         gnutls_memcmp(given.data(), expected.data(), given.size()) == 0;
}

void onReady(AdminApi &api, std::uint64_t id) {
  if (api.Node->Leaving)
    detail::refuse(api, id, {ResultCode::NodeLeaving, "the node is leaving"});
  else if (!node::isReady(*api.Node))
    detail::refuse(api, id,
                   {ResultCode::NotReady, "waiting for shard map, contracts and back ends"});
  else
    detail::answerJson(api, id, {{"ready", true}});
}

void onMetrics(AdminApi &api, std::uint64_t id) {
  net::respond(*api.Server, id,
               {.ContentType = "text/plain; version=0.0.4; charset=utf-8",
                .Body = api.Metrics ? api.Metrics() : std::string()});
}

enum class Match : std::uint8_t { Done, WrongMethod, NoPath };

/// Paths outside /admin/v1, which need no token.
Match serveOpen(AdminApi &api, const net::HttpRequest &request) {
  const bool health = request.Path == "/healthz";
  const bool ready = request.Path == "/readyz";
  if (!health && !ready && request.Path != "/metrics")
    return Match::NoPath;
  if (request.Method != "GET" && request.Method != "HEAD")
    return Match::WrongMethod;
  if (health)
    detail::answerJson(api, request.Id, {{"alive", true}});
  else if (ready)
    onReady(api, request.Id);
  else
    onMetrics(api, request.Id);
  return Match::Done;
}

Match serveContract(AdminApi &api, const net::HttpRequest &request, std::string_view rest) {
  const bool history = rest.ends_with(HistorySuffix);
  if (history)
    rest.remove_suffix(HistorySuffix.size());
  const std::string customer(rest);
  if (customer.empty() || customer.find('/') != std::string::npos)
    return Match::NoPath;
  if (request.Method == "GET" && history)
    detail::onContractHistory(api, request, customer);
  else if (request.Method == "GET")
    detail::onContractGet(api, request, customer);
  else if (request.Method == "PUT" && !history)
    detail::onContractPut(api, request, customer);
  else
    return Match::WrongMethod;
  return Match::Done;
}

struct Endpoint {
  std::string_view Path;
  std::string_view Method;
  void (*Serve)(AdminApi &api, const net::HttpRequest &request);
};

void onNodes(AdminApi &api, const net::HttpRequest &request) {
  detail::answerJson(api, request.Id, detail::describeNodes(*api.Node));
}

void onBackends(AdminApi &api, const net::HttpRequest &request) {
  detail::answerJson(api, request.Id, detail::describeBackends(*api.Node));
}

void onShards(AdminApi &api, const net::HttpRequest &request) {
  detail::answerJson(api, request.Id, detail::describeShards(*api.Node));
}

constexpr std::array Endpoints = {
    Endpoint{"nodes", "GET", onNodes},
    Endpoint{"backends", "GET", onBackends},
    Endpoint{"shards", "GET", onShards},
    Endpoint{"contracts", "GET", detail::onContractList},
    Endpoint{"diff", "POST", detail::onContractDiff},
    Endpoint{"drain", "POST", detail::onDrain},
    Endpoint{"explain", "POST", detail::onExplain},
};

Match serveAdmin(AdminApi &api, const net::HttpRequest &request, std::string_view rest) {
  for (const Endpoint &it : Endpoints) {
    if (rest != it.Path)
      continue;
    if (request.Method != it.Method)
      return Match::WrongMethod;
    it.Serve(api, request);
    return Match::Done;
  }
  if (rest.starts_with(ContractsPrefix))
    return serveContract(api, request, rest.substr(ContractsPrefix.size()));
  if (!rest.starts_with(RequestsPrefix))
    return Match::NoPath;
  if (request.Method != "GET")
    return Match::WrongMethod;
  detail::onRequestRecord(api, request, rest.substr(RequestsPrefix.size()));
  return Match::Done;
}

} // namespace

namespace detail {

void answerJson(AdminApi &api, std::uint64_t id, const Json &body) {
  net::respond(*api.Server, id,
               {.Body = body.dump(-1, ' ', false, Json::error_handler_t::replace)});
}

void refuse(AdminApi &api, std::uint64_t id, const Error &error, const Json &extra) {
  if (api.CountRefusal)
    api.CountRefusal(error.Code);
  net::HttpResponse response = refusalResponse(error);
  if (extra.is_object()) {
    Json body = Json::parse(response.Body);
    body["error"].update(extra);
    response.Body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  }
  net::respond(*api.Server, id, std::move(response));
}

Json bodyObject(AdminApi &api, const net::HttpRequest &request) {
  if (request.Body.empty())
    return Json::object();
  Json body = Json::parse(request.Body, nullptr, false);
  if (body.is_discarded()) {
    refuse(api, request.Id, {ResultCode::BadJson, "the body is not JSON"});
    return {};
  }
  if (!body.is_object()) {
    refuse(api, request.Id, {ResultCode::BadRequest, "the body is not an object"});
    return {};
  }
  return body;
}

std::int64_t millis(WallTime time) { return time.time_since_epoch().count(); }

} // namespace detail

void onRequest(AdminApi &api, const net::HttpRequest &request) {
  Match match = serveOpen(api, request);
  const std::string_view path = request.Path;
  if (match == Match::NoPath && path.starts_with(AdminPrefix)) {
    if (!isAuthorised(api, request)) {
      detail::refuse(api, request.Id,
                     {ResultCode::Unauthorised, "Authorization: Bearer <admin_token> is required"});
      return;
    }
    if (request.BodyTooLarge) {
      detail::refuse(api, request.Id, {ResultCode::BodyTooLarge, "the body is too large"});
      return;
    }
    match = serveAdmin(api, request, path.substr(AdminPrefix.size()));
  }
  if (match == Match::WrongMethod)
    detail::refuse(api, request.Id, {ResultCode::WrongMethod, "wrong method for this path"});
  else if (match == Match::NoPath)
    detail::refuse(api, request.Id, {ResultCode::NotFound, "no such path"});
}

} // namespace chervil::daemon
