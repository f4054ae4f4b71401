#include "base/Hash.h"
#include "daemon/AdminDetail.h"

namespace chervil::daemon::detail {
namespace {

std::string toString(message::RecordState state) {
  switch (state) {
  case message::RecordState::Running:
    return "running";
  case message::RecordState::Finished:
    return "finished";
  case message::RecordState::Unknown:
    return "unknown";
  case message::RecordState::Closed:
    return "closed";
  }
  return "unknown";
}

std::string toString(node::ExecutionPhase phase) {
  switch (phase) {
  case node::ExecutionPhase::Choosing:
    return "choosing";
  case node::ExecutionPhase::Calling:
    return "calling";
  case node::ExecutionPhase::Exporting:
    return "exporting";
  case node::ExecutionPhase::Finishing:
    return "finishing";
  case node::ExecutionPhase::Closing:
    return "closing";
  }
  return "closing";
}

Json toJson(const message::RecordCopy &record) {
  return {{"state", toString(record.State)},
          {"attempt", record.Attempt},
          {"run", record.Run},
          {"executor", record.Executor.Name},
          {"kind", record.Spec.Kind == message::WorkKind::Model ? "model" : "service"},
          {"target", record.Spec.Target},
          {"repeatable", record.Spec.Repeatable},
          {"code", info(record.Code).Name},
          {"status", record.Status},
          {"tokens", record.Tokens},
          {"answer_bytes", record.Answer.size()}};
}

Json toJson(const record::Mark &mark) {
  return {{"state", toString(mark.State)}, {"attempt", mark.Attempt}, {"run", mark.Run}};
}

Json toJson(const node::Execution &execution) {
  return {{"phase", toString(execution.Phase)},
          {"run", execution.Record.Run},
          {"backend", execution.Backend},
          {"callers", execution.Callers.size()},
          {"failures", execution.Failures},
          {"tokens", execution.Record.Tokens},
          {"answer_bytes", execution.Record.Answer.size()}};
}

} // namespace

void onRequestRecord(AdminApi &api, const net::HttpRequest &request, std::string_view rest) {
  const std::size_t slash = rest.find('/');
  if (slash == std::string_view::npos || slash == 0 || slash + 1 == rest.size()) {
    refuse(api, request.Id, {ResultCode::NotFound, "expected requests/{customer}/{key}"});
    return;
  }
  const node::State &state = *api.Node;
  const RequestKey key{std::string(rest.substr(0, slash)), std::string(rest.substr(slash + 1))};
  Json out = {{"customer", key.Customer}, {"key", key.Key},    {"node", state.Self.Name},
              {"placement", nullptr},     {"record", nullptr}, {"mark", nullptr},
              {"execution", nullptr}};
  if (!state.Map.Shards.empty())
    out["placement"] = describeShard(state, shard::shardOf(key, state.Map.Shards.size()));
  bool known = false;
  if (const auto it = state.Records.Records.find(key); it != state.Records.Records.end()) {
    out["record"] = toJson(it->second.Data);
    known = true;
  }
  if (const record::Mark *mark = record::findMark(state.Records.Marks, key)) {
    out["mark"] = toJson(*mark);
    known = true;
  }
  if (const auto it = state.Executions.find(key); it != state.Executions.end()) {
    out["execution"] = toJson(it->second);
    known = true;
  }
  if (known)
    answerJson(api, request.Id, out);
  else
    refuse(api, request.Id,
           {ResultCode::RequestNotFound, "this node holds nothing about the request"},
           {{"node", out["node"]}, {"placement", out["placement"]}});
}

} // namespace chervil::daemon::detail
