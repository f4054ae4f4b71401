#include "node/Context.h"

namespace chervil::node::detail {

namespace {

/// Returns the call that reads from `from` with this reader number, or null.
Call *callOfReader(Context &ctx, const NodeId &from, std::uint64_t reader) {
  const auto it = ctx.S.Readers.find(reader);
  if (it == ctx.S.Readers.end())
    return nullptr;
  const auto call = ctx.S.Calls.find(it->second);
  return call != ctx.S.Calls.end() && call->second.Source == from ? &call->second : nullptr;
}

/// Stops reading; tickCall() starts again after RepeatDelay.
void stopReading(Context &ctx, Call &call) {
  ctx.S.Readers.erase(call.Reader);
  call.Reader = 0;
  call.NextTry = ctx.Time.Steady + ctx.S.Settings.RepeatDelay;
}

/// True for codes after which the record may appear at another holder.
bool isRecordMoving(ResultCode code) {
  return code == ResultCode::HandedOver || code == ResultCode::RequestNotFound ||
         code == ResultCode::StaleEpoch || code == ResultCode::NotReady;
}

} // namespace

void startReading(Context &ctx, Call &call, const NodeId &source) {
  if (call.Reader != 0)
    ctx.S.Readers.erase(call.Reader);
  if (call.Mode != CallMode::Reading) {
    call.Mode = CallMode::Reading;
    call.Deadline = ctx.Time.Steady + ctx.S.Settings.FetchTimeout;
  }
  NodeId to = source;
  if (!isSet(to))
    if (const auto holder = holderFor(ctx.S, call.Key, true, false)) {
      // holderFor() names another node than this one for a second copy. For reading, a copy that
      // this node keeps in place of the owner is as good.
      const bool isCopyHere = holder->Fallback && ctx.S.Records.Records.contains(call.Key);
      to = isCopyHere ? ctx.S.Self : holder->Node;
    }
  call.Reader = ctx.S.NextReader++;
  call.Source = to;
  call.LastFetch = ctx.Time.Steady;
  ctx.S.Readers.emplace(call.Reader, call.Handle);
  sendTo(ctx, to, message::Fetch{call.Key, call.Offset, call.Reader, false});
}

void tickReading(Context &ctx, Call &call) {
  const TimePoint now = ctx.Time.Steady;
  if (call.Reader != 0 && isAlive(ctx.S, call.Source)) {
    if (now - call.LastFetch < ctx.S.Settings.RefetchPeriod)
      return;
    // The source may not know the reader any more: it drops the readers of a node that it took for
    // dead, and the message with the end may be lost.
    incrementCounter(ctx, "retry", "silent_reader");
    sendTo(ctx, call.Source, message::Fetch{call.Key, call.Offset, call.Reader, true});
    call.Deadline = now + ctx.S.Settings.FetchTimeout;
    startReading(ctx, call, {});
    return;
  }
  if (now >= call.Deadline)
    refuseCall(ctx, call,
               call.RefuseCode == ResultCode::Ok ? ResultCode::OwnerUnreachable : call.RefuseCode);
  else if (now >= call.NextTry)
    startReading(ctx, call, {});
}

void onChunk(Context &ctx, const NodeId &from, const message::Chunk &chunk) {
  Call *call = callOfReader(ctx, from, chunk.Reader);
  if (call == nullptr)
    return;
  if (chunk.Offset > call->Offset) {
    // A message was lost because its connection failed. Read again from the caller's offset.
    stopReading(ctx, *call);
    startReading(ctx, *call, {});
    return;
  }
  call->Deadline = ctx.Time.Steady + ctx.S.Settings.FetchTimeout;
  call->LastFetch = ctx.Time.Steady;
  deliver(ctx, *call, chunk.Offset, chunk.Bytes);
}

void onEnd(Context &ctx, const NodeId &from, const message::End &end) {
  Call *call = callOfReader(ctx, from, end.Reader);
  if (call == nullptr)
    return;
  if (end.Code == ResultCode::Ok) {
    if (call->Offset != end.TotalSize) {
      stopReading(ctx, *call);
      startReading(ctx, *call, {});
      return;
    }
    finishCall(ctx, *call, end.Status, end.ContentType, end.Tokens);
    return;
  }
  if (isRecordMoving(end.Code)) {
    stopReading(ctx, *call);
    call->RefuseCode = end.Code;
    return;
  }
  // The content may have been quarantined after a run of this very request, so the refusal must not
  // state that it did not run.
  call->MayHaveRun = end.Code == ResultCode::Quarantined;
  refuseCall(ctx, *call, end.Code);
}

} // namespace chervil::node::detail
