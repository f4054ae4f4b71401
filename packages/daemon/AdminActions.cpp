#include "contract/Contract.h"
#include "daemon/AdminDetail.h"
#include "daemon/ChatRequest.h"
#include "routing/Routing.h"

#include <algorithm>

namespace chervil::daemon::detail {
namespace {

using namespace std::chrono_literals;

// The range of the setting drain_time.
constexpr std::chrono::milliseconds MaxDrain = 24h;

const char *toString(routing::Rejection reason) {
  switch (reason) {
  case routing::Rejection::None:
    return "";
  case routing::Rejection::Leaving:
    return "leaving";
  case routing::Rejection::Dead:
    return "dead";
  case routing::Rejection::Ejected:
    return "ejected";
  case routing::Rejection::Avoided:
    return "avoided";
  case routing::Rejection::ReservedSlots:
    return "reserved_slots";
  case routing::Rejection::Isolated:
    return "isolated";
  case routing::Rejection::WarmingUp:
    return "warming_up";
  }
  return "";
}

double inMillis(Duration value) { return std::chrono::duration<double, std::milli>(value).count(); }

std::string textOr(const Json &body, const char *name, const std::string &fallback) {
  const auto it = body.find(name);
  return it != body.end() && it->is_string() ? it->get<std::string>() : fallback;
}

/// The work of a service call: {"service", "method", "path"}.
Result<routing::WorkRequest> serviceWork(const Json &body, const Contract *contract) {
  const std::string name = textOr(body, "service", "");
  const std::string path = textOr(body, "path", "/");
  routing::WorkRequest work;
  work.TargetKind = message::WorkKind::Service;
  work.Target = name;
  work.Kind = path;
  if (contract == nullptr)
    return work;
  const ServiceTerms *service = findService(*contract, name);
  if (service == nullptr)
    return fail(ResultCode::UnknownService, "the contract does not list the service " + name);
  work.Target = service->Backends;
  work.Repeatable = callTerms(*service, textOr(body, "method", "GET"), path).Repeatable;
  return work;
}

Result<routing::WorkRequest> chatWork(const net::HttpRequest &request, const Contract *contract) {
  const Result<node::CallerRequest> chat = parseChatRequest(request.Body);
  if (!chat)
    return tl::make_unexpected(chat.error());
  routing::WorkRequest work;
  work.Target = chat->Spec.Target;
  work.Kind = net::query(request, "hint").value_or("");
  work.PrefixHashes = chat->PrefixHashes;
  work.PromptTokens = chat->PromptTokens;
  work.MaxTokens = chat->Spec.MaxTokens;
  if (contract == nullptr)
    return work;
  const ModelTerms *model = findModel(*contract, work.Target);
  if (model == nullptr)
    return fail(ResultCode::UnknownModel, "the contract does not list the model " + work.Target);
  if (work.MaxTokens == 0)
    work.MaxTokens = model->DefaultMaxTokens;
  return work;
}

Result<routing::WorkRequest> parseWork(const node::State &state, const net::HttpRequest &request,
                                       const Json &body) {
  const std::string customer(net::query(request, "customer").value_or(""));
  const Contract *contract = nullptr;
  if (!customer.empty()) {
    const auto it = state.Contracts.find(customer);
    if (it == state.Contracts.end())
      return fail(ResultCode::UnknownContract, "this node has no contract of " + customer);
    contract = &it->second;
  }
  auto work = body.contains("service") ? serviceWork(body, contract) : chatWork(request, contract);
  if (work) {
    work->Customer = customer;
    work->Priority = contract != nullptr ? contract->Priority : work->Priority;
  }
  return work;
}

Json toJson(const routing::Candidate &candidate) {
  return {{"backend", candidate.Backend},
          {"expected_ms", inMillis(candidate.Expected)},
          {"prefix_tokens", candidate.PrefixTokens},
          {"slow_factor", candidate.SlowFactor},
          {"running", candidate.Running},
          {"rejected", toString(candidate.Reason)}};
}

Json toJson(const routing::ChoiceResult &result) {
  if (!result)
    return {{"code", static_cast<int>(result.error())}, {"name", info(result.error()).Name}};
  return {{"backend", result->Backend},
          {"address", result->Address},
          {"expected_ms", inMillis(result->Expected)},
          {"expected_tokens", result->ExpectedTokens},
          {"prefix_tokens", result->PrefixTokens},
          {"engine_priority", result->EnginePriority},
          {"wait_ms", inMillis(result->Wait)}};
}

} // namespace

void onDrain(AdminApi &api, const net::HttpRequest &request) {
  const Json body = bodyObject(api, request);
  if (body.is_null())
    return;
  std::chrono::milliseconds time = api.Node->Settings.DrainTime;
  if (const auto it = body.find("drain_ms"); it != body.end()) {
    if (!it->is_number_unsigned() ||
        it->get<std::uint64_t>() > static_cast<std::uint64_t>(MaxDrain.count())) {
      refuse(api, request.Id,
             {ResultCode::BadRequest, "drain_ms: an integer from 0 to 86400000 (24 h)"});
      return;
    }
    time = std::chrono::milliseconds(it->get<std::int64_t>());
  }
  WallTime by = api.Clock().Wall + time;
  if (api.Node->Leaving)
    by = std::min(by, api.Node->Leaving->By);
  answerJson(api, request.Id, {{"node", api.Node->Self.Name}, {"leave_by_ms", millis(by)}});
  api.Leave(time);
}

void onExplain(AdminApi &api, const net::HttpRequest &request) {
  const Json body = bodyObject(api, request);
  if (body.is_null())
    return;
  const Result<routing::WorkRequest> work = parseWork(*api.Node, request, body);
  if (!work) {
    refuse(api, request.Id, work.error());
    return;
  }
  const routing::Explanation explanation =
      routing::explain(api.Node->Routes, *work, api.Clock(), *api.Rng);
  Json candidates = Json::array();
  for (const routing::Candidate &it : explanation.Candidates)
    candidates.push_back(toJson(it));
  answerJson(api, request.Id,
             {{"node", api.Node->Self.Name},
              {"target", work->Target},
              {"expected_tokens", routing::expectedTokens(api.Node->Routes, *work)},
              {"repeatable", work->Repeatable},
              {"result", toJson(explanation.Result)},
              {"candidates", std::move(candidates)}});
}

} // namespace chervil::daemon::detail
