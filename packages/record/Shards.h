// Reactions of the record table to a new shard map and to the death of a member.
#ifndef CHERVIL_RECORD_SHARDS_H
#define CHERVIL_RECORD_SHARDS_H

#include "record/Effects.h"
#include "record/State.h"

namespace chervil::record {

/// Applies a new shard map. A promoted standby takes over the requests of dead executors, a former
/// owner tells its readers to turn to the new owner, and a new standby is sent the table.
Effects onShards(State &state, std::vector<ShardView> shards, const IsAlive &alive, const Now &now);

/// Handles the death of a member. The owner takes over the repeatable requests that it executed;
/// the outcome of the non-repeatable ones becomes unknown.
Effects onMemberDead(State &state, const NodeId &dead, const Now &now);

/// Checks the executor of a running record that has made no progress for ExecutorSilence: the
/// record may have arrived after the death of its executor, or the executor may have lost the
/// grant. A dead executor is handled as in onMemberDead(). A live one gets the grant again; it
/// declines the grant if no caller waits and it does not run the request.
Effects checkExecutor(State &state, const RequestKey &key, const IsAlive &alive, const Now &now);

} // namespace chervil::record

#endif
