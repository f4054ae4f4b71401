// The standby's side of a shard: storing marks and the table.
#ifndef CHERVIL_RECORD_STANDBY_H
#define CHERVIL_RECORD_STANDBY_H

#include "record/Effects.h"
#include "record/State.h"

namespace chervil::record {

/// Stores a record if the sender is the owner under this node's map and the epoch is current.
Effects onMark(State &state, const NodeId &from, const message::Mark &mark, const Now &now);

/// Progress forwarded by the owner; returns false if this node is not standby of the key's shard.
bool onForwardedProgress(State &state, const NodeId &from, const message::Progress &progress,
                         const Now &now);

/// Stores part of the table of a shard this node is becoming standby of.
Effects onTableChunk(State &state, const NodeId &from, const message::TableChunk &chunk,
                     const Now &now);

/// The new standby's answer to a chunk: sends the next one, or reports the standby ready.
Effects onTableAck(State &state, const NodeId &from, const message::TableAck &ack, const Now &now);

namespace detail {
/// Starts the transfer of a shard's table to its standby.
void startTransfer(State &state, std::uint32_t shard, const Now &now, Effects &effects);
/// Drops everything held of a shard, and returns whether a running request was among it.
void discardShard(State &state, std::uint32_t shard);
} // namespace detail

} // namespace chervil::record

#endif
