// Internal to the package: copying records to the standby and finding what is held of a key.
#ifndef CHERVIL_RECORD_REPLICATION_H
#define CHERVIL_RECORD_REPLICATION_H

#include "record/Effects.h"
#include "record/State.h"

namespace chervil::record::detail {

/// Highest closed attempt, state and hash of a key from the record or its mark.
struct KeyState {
  bool Exists = false;
  message::RecordState State = message::RecordState::Running;
  std::uint64_t BodyHash = 0;
  std::uint32_t Attempt = 0;
  std::uint32_t Run = 0;
};

KeyState findKeyState(const State &state, const RequestKey &key);

/// The record of a key, re-created from its mark if only that is left, or new and empty.
Record &findOrCreateRecord(State &state, const RequestKey &key, const Now &now);

/// Sends the record to the shard's standby, if there is one; returns the sequence number.
std::uint64_t replicate(State &state, const Record &record, Effects &effects);

/// Registers a reply that waits for the acknowledgement of `seq`.
void awaitAck(State &state, std::uint64_t seq, PendingReply pending, const Now &now);

/// True if the standby must acknowledge before anything is promised.
bool requiresAck(const ShardView &shard);
/// True if the standby may be owner under a newer map that has not arrived here: it is ready, or
/// this node has reported it as ready. An attempt is then closed only with the standby's ack,
/// because the new owner may have granted it.
bool mayBePromoted(const State &state, std::uint32_t shard);
/// True while the close of an attempt of this key waits for the standby: "not_run" may not be
/// claimed yet.
bool isClosing(const State &state, const RequestKey &key);

/// Tells all readers that the answer has ended and forgets them.
void notifyReadersOfEnd(Record &record, ResultCode code, Effects &effects);

/// Moves a record to Finished and into the answer budget.
void setFinished(State &state, Record &record);

/// Moves a record to Closed or Unknown.
void setEnded(State &state, Record &record, message::RecordState ended);

/// Takes the answer of a record out of the byte count.
void dropAnswer(State &state, Record &record);

template <typename T> void send(Effects &effects, const NodeId &to, T what) {
  effects.Messages.push_back({to, message::Message(std::move(what))});
}

} // namespace chervil::record::detail

#endif
