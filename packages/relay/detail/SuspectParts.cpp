#include "relay/detail/SuspectParts.h"

#include "base/Hash.h"
#include "relay/detail/BackendCalls.h"
#include "relay/detail/Dispatch.h"
#include "relay/detail/Outcome.h"

#include <utility>

namespace chervil::relay::detail {
namespace {

bool hasJustBegun(const State &state, const ActiveRequest &request, bool isInHead, const Now &now) {
  const bool began = request.Call.AnswerBegan != TimePoint{} && !request.Call.AnswerWentOn;
  if (isSmallFleet(state))
    return isInHead || began;
  return began &&
         (!request.Call.GotFirstByte || now.Steady - request.Call.AnswerBegan < AnswerBeginTime);
}

std::string formatParts(const std::vector<std::uint64_t> &parts) {
  std::string out;
  for (const std::uint64_t it : parts)
    out += (out.empty() ? "" : ",") + std::to_string(it);
  return out;
}

void share(Context &ctx, message::PartEvidence evidence) {
  if (!retry::isEmpty(evidence))
    ctx.Out.push_back(Gossip{std::move(evidence)});
}

} // namespace

std::string startOf(State &state, const std::string &id) {
  const Backend *server = find(state.Servers, id);
  return server == nullptr ? id : id + "/" + std::to_string(server->Entry.Born);
}

void onAnswerBroke(Context &ctx, const ActiveRequest &request, bool isInHead) {
  retry::Parts parts = sharedParts(request.Info.Prompt);
  if (parts.empty() || !hasJustBegun(ctx.S, request, isInHead, ctx.Time))
    return;
  logRequest(ctx, request, "prompt_suspect", {{"parts", formatParts(parts)}});
  ctx.Out.push_back(IncrementCounter{"backend_misbehaved", "broke_at_begin"});
  share(ctx,
        retry::recordDeath(ctx.S.PartQuarantine, hashBytes(startOf(ctx.S, request.Call.Backend)),
                           {std::move(parts)}, ctx.Time));
}

void onAnswerProgress(Context &ctx, ActiveRequest &request, bool isComplete) {
  if (request.Call.AnswerWentOn || request.Info.Prompt.size() < 2)
    return;
  if (!isComplete && (!request.Call.GotFirstByte ||
                      ctx.Time.Steady - (isSmallFleet(ctx.S) ? request.Call.FirstByteAt
                                                             : request.Call.AnswerBegan) <
                          AnswerBeginTime))
    return;
  request.Call.AnswerWentOn = true;
  share(ctx,
        retry::recordSuccess(ctx.S.PartQuarantine, sharedParts(request.Info.Prompt), ctx.Time));
}

void refuseQuarantined(Context &ctx) {
  const auto &quarantined = ctx.S.PartQuarantine.Quarantined;
  if (quarantined == ctx.S.ActedOnQuarantine)
    return;
  ctx.S.ActedOnQuarantine = quarantined;
  for (const retry::Parts &it : quarantined)
    ctx.Out.push_back(LogRecord{"parts_quarantined", "", {{"parts", formatParts(it)}}});
  std::vector<RequestId> refused;
  for (const auto &[id, request] : ctx.S.ActiveRequests)
    if (request.Call.AnswerBegan == TimePoint{} && !request.IsProbe &&
        retry::isQuarantined(ctx.S.PartQuarantine, sharedParts(request.Info.Prompt)))
      refused.push_back(id);
  for (const RequestId id : refused) {
    ActiveRequest &request = ctx.S.ActiveRequests.at(id);
    cancelCall(ctx, request);
    request.LastFailure = ResultCode::Quarantined;
    if (!keepOtherCall(ctx, request))
      refuse(ctx, request, ResultCode::Quarantined, QuarantineRetryAfter);
  }
}

} // namespace chervil::relay::detail
