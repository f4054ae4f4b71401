// Internal to the package: lookup of keys, state changes of records and replication to the standby.
#ifndef CHERVIL_RECORD_REPLICATION_H
#define CHERVIL_RECORD_REPLICATION_H

#include "record/Effects.h"
#include "record/State.h"

namespace chervil::record::detail {

/// What is held of a key, from its record or its mark.
struct KeyState {
  bool Exists = false;
  message::RecordState State = message::RecordState::Running;
  std::uint64_t BodyHash = 0;
  /// Attempt of the record; in state Closed the highest closed one.
  std::uint32_t Attempt = 0;
  std::uint32_t Run = 0;
};

/// Returns what is held of a key; Exists is false if that is nothing.
KeyState findKeyState(const State &state, const RequestKey &key);

/// Returns the record of a key. A missing record is created from the mark of the key, which is then
/// removed, or empty. The reference is valid until the record is erased.
Record &findOrCreateRecord(State &state, const RequestKey &key, const Now &now);

/// Sends the record to the standby if this node is the owner and there is a standby. Returns the
/// sequence number that the acknowledgement will carry.
std::uint64_t replicate(State &state, const Record &record, Effects &effects);

/// Registers a reply that waits for the acknowledgement of `seq`, and sets its deadline.
void awaitAck(State &state, std::uint64_t seq, PendingReply pending, const Now &now);

/// Returns true if the standby must acknowledge a record before a promise is made.
bool requiresAck(const ShardView &shard);
/// Returns true if the standby may already be the owner under a newer map that has not arrived
/// here, because it is ready or this node has reported it as ready. An attempt is then closed only
/// with the standby's acknowledgement, because the new owner may have granted it.
bool mayBePromoted(const State &state, std::uint32_t shard);
/// Returns true while the close of an attempt of this key waits for the standby. Until then the
/// attempt must not be reported as "not_run".
bool isClosing(const State &state, const RequestKey &key);

/// Grants the execution to the executor of the record. `where` tells which copies exist.
void grant(Effects &effects, Record &record, message::CopyPlacement where);

/// Tells all readers that the answer has ended, and removes them.
void notifyReadersOfEnd(Record &record, ResultCode code, Effects &effects);

/// Resolves a running record whose executor does not run it any more: a repeatable request is taken
/// over by this node, the outcome of a non-repeatable one becomes unknown.
void resolveOrphan(State &state, Record &record, const Now &now, Effects &effects);

/// Sets a record to Finished and counts its answer towards the answer budget.
void setFinished(State &state, Record &record);

/// Sets a record to Closed or Unknown and schedules its reduction to a mark.
void setEnded(State &state, Record &record, message::RecordState ended);

/// Clears the answer of a record; that of a finished record no longer counts towards the budget.
void dropAnswer(State &state, Record &record);

/// Adds a message to the effects.
template <typename T> void send(Effects &effects, const NodeId &to, T what) {
  effects.Messages.push_back({to, message::Message(std::move(what))});
}

} // namespace chervil::record::detail

#endif
