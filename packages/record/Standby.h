// Message handlers of the standby of a shard, and the table transfer to a new standby.
#ifndef CHERVIL_RECORD_STANDBY_H
#define CHERVIL_RECORD_STANDBY_H

#include "record/Effects.h"
#include "record/State.h"

namespace chervil::record {

/// Stores a record from the owner and acknowledges it. Replies StaleEpoch if the sender is not the
/// owner in the current epoch of this node's map, and AttemptClosed if the attempt was closed here.
Effects onMark(State &state, const NodeId &from, const message::ReplicateRecord &mark,
               const Now &now);

/// Appends a part of an answer that the owner has forwarded. Returns false if no record is held or
/// this node is not the standby of `from` for it; nothing has then been done.
bool onForwardedProgress(State &state, const NodeId &from, const message::Progress &progress,
                         const Now &now);

/// Stores a chunk of the table of a shard whose standby this node becomes, and acknowledges it. The
/// first chunk replaces everything that was held of the shard.
Effects onTableChunk(State &state, const NodeId &from, const message::TableChunk &chunk,
                     const Now &now);

/// Handles the acknowledgement of a chunk: sends the next one, or reports the standby as ready.
Effects onTableAck(State &state, const NodeId &from, const message::TableAck &ack, const Now &now);

namespace detail {
/// Starts, or restarts, the transfer of a shard's table to its standby.
void startTransfer(State &state, std::uint32_t shard, const Now &now, Effects &effects);
/// Removes all records and marks of a shard, but for those kept in place of an unreachable owner,
/// and ends its transfer.
void discardShard(State &state, std::uint32_t shard);
} // namespace detail

} // namespace chervil::record

#endif
