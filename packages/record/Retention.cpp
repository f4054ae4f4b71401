#include "record/Retention.h"

#include "record/Replication.h"
#include "record/Standby.h"

#include <utility>

namespace chervil::record {

using message::RecordState;

namespace detail {
void resolvePending(State &state, const PendingReply &pending, ResultCode code, Effects &effects);
} // namespace detail

namespace {

/// Resolves replies whose acknowledgement did not arrive in time. All wait equally long, so that
/// the oldest sequence number has the earliest deadline.
void expirePendingReplies(State &state, const Now &now, Effects &effects) {
  while (!state.PendingReplies.empty() &&
         state.PendingReplies.begin()->second.Deadline <= now.Steady) {
    const PendingReply pending = state.PendingReplies.begin()->second;
    state.PendingReplies.erase(state.PendingReplies.begin());
    detail::resolvePending(state, pending, ResultCode::OutcomeUnknown, effects);
  }
}

/// Restarts transfers without progress. If only the map has not followed yet, the report that the
/// standby is ready is repeated instead.
void retryStalledTransfers(State &state, const Now &now, Effects &effects) {
  for (auto &[shard, transfer] : state.Transfers) {
    if (transfer.Deadline > now.Steady)
      continue;
    if (transfer.Index == Transfer::AllStored) {
      transfer.Deadline = now.Steady + state.Settings.TransferTimeout;
      effects.ReadyStandbys.push_back({shard, transfer.Epoch});
      continue;
    }
    detail::startTransfer(state, shard, now, effects);
  }
}

/// Replaces an ended record by its mark if it is non-repeatable, and removes it otherwise.
void reduceToMark(State &state, const RequestKey &key) {
  const auto it = state.Records.find(key);
  if (it == state.Records.end() || it->second.Data.State == RecordState::Running)
    return;
  const Record &record = it->second;
  const auto &data = record.Data;
  if (!data.Spec.Repeatable)
    addMark(state.Marks, hashOf(key),
            {keyCheckOf(key), data.BodyHash, record.Changed, record.Shard, data.Attempt, data.Run,
             data.State});
  detail::dropAnswer(state, it->second);
  state.Records.erase(it);
}

/// Drops the oldest finished answers while they are expired or exceed the budget.
void enforceAnswerBudget(State &state, const Now &now) {
  const TimePoint limit = now.Steady - state.Settings.RetryHorizon;
  while (!state.FinishedOrder.empty()) {
    const RequestKey key = state.FinishedOrder.front();
    const auto it = state.Records.find(key);
    const bool gone = it == state.Records.end();
    const bool expired = !gone && it->second.Changed < limit;
    if (!gone && !expired && state.AnswerBytes <= state.Settings.AnswerBudget)
      return;
    state.FinishedOrder.pop_front();
    reduceToMark(state, key);
  }
}

} // namespace

Effects tick(State &state, const Now &now) {
  Effects effects;
  expirePendingReplies(state, now, effects);
  retryStalledTransfers(state, now, effects);
  for (const RequestKey &key : std::exchange(state.EndedKeys, {}))
    reduceToMark(state, key);
  enforceAnswerBudget(state, now);
  expireMarks(state.Marks, now.Steady - state.Settings.RetryHorizon);
  return effects;
}

} // namespace chervil::record
