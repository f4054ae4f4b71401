// Changes of the shard map and of the members, as they concern the records.
#ifndef CHERVIL_RECORD_SHARDS_H
#define CHERVIL_RECORD_SHARDS_H

#include "record/Effects.h"
#include "record/State.h"

namespace chervil::record {

/// Applies a new shard map. A promoted standby takes over what dead executors ran; a former owner
/// sends its readers to the new one; a new standby is sent the table.
Effects onShards(State &state, std::vector<ShardView> shards, const IsAlive &alive, const Now &now);

/// A member has died: its repeatable requests are taken over by their owner, its non-repeatable
/// ones become unknown.
Effects onMemberDead(State &state, const NodeId &dead, const Now &now);

} // namespace chervil::record

#endif
