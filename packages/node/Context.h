// Internal to the package: the context of the event handlers, and the functions that they share.
#ifndef CHERVIL_NODE_CONTEXT_H
#define CHERVIL_NODE_CONTEXT_H

#include "base/Random.h"
#include "node/Effect.h"
#include "node/Event.h"
#include "node/State.h"
#include "record/Effects.h"

#include <deque>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace chervil::node::detail {

/// What the handlers of one event work with; valid until the event has been handled.
struct Context {
  State &S;
  const Now &Time;
  Random &Rng;
  /// Effects of the event, in order.
  std::vector<Effect> &Out;
  /// Messages of the node to itself; they are handled before handleEvent() returns.
  std::deque<message::Message> Local;
};

/// The node that keeps or is to keep the record of a request, and whether it does so as a fallback
/// for the owner.
struct Holder {
  NodeId Node;
  bool Fallback = false;
};

/// Appends an effect.
void emit(Context &ctx, Effect effect);
/// Emits IncrementCounter. Both strings must be literals.
void incrementCounter(Context &ctx, const char *metric, const char *reason);
/// Emits InvariantViolation.
void reportViolation(Context &ctx, Invariant what, std::string detail);

/// Sends a message to a member. A message to this node itself is handled before handleEvent()
/// returns. Messages to members without a known address are dropped and counted.
void sendTo(Context &ctx, const NodeId &to, message::Message what);

/// Carries out the effects of the record table.
void applyRecordEffects(Context &ctx, record::Effects effects);

/// True if the member is known and not dead.
bool isAlive(const State &state, const NodeId &id);
/// True if the member is alive and not leaving.
bool isStaying(const State &state, const NodeId &id);

/// Returns the shard of a key under the current shard map, or null without a map.
const record::ShardView *shardFor(const State &state, const RequestKey &key);

/// Returns the node with the highest rendezvous hash for the key among the other nodes that are
/// alive and not leaving. Nodes in other data centres are preferred. Returns this node if there is
/// no other. `excluded` may be empty.
NodeId rendezvousNode(const State &state, const RequestKey &key,
                      const std::function<bool(const NodeId &)> &excluded);

/// Returns the node that is to keep the record of a key: the owner if it is alive. If it is not,
/// for repeatable requests: the standby, else the node chosen by rendezvousNode(); for others:
/// nullopt. `avoidOwner` skips the owner of a repeatable request, because it did not answer.
std::optional<Holder> holderFor(const State &state, const RequestKey &key, bool repeatable,
                                bool avoidOwner);

// Calls (Calls.cpp).
/// Completes the answer of a call and deletes the call.
void finishCall(Context &ctx, Call &call, std::uint16_t status, const std::string &contentType,
                std::uint32_t tokens);
/// Refuses a call and deletes it.
void refuseCall(Context &ctx, Call &call, ResultCode code, std::uint32_t nextAttempt = 0);
/// Tells the caller to continue at another node, and deletes the call.
void moveCall(Context &ctx, Call &call);
/// Deletes a call, if it exists, and settles its admission.
void forgetCall(Context &ctx, std::uint64_t handle);
/// Sends to the caller the part of `bytes` that it does not have yet. `bytes` starts at `offset` of
/// the answer.
void deliver(Context &ctx, Call &call, std::uint64_t offset, std::string_view bytes);
/// Returns the handles of this node's calls that wait for the owner's decision on a key.
std::vector<std::uint64_t> waitingCalls(const State &state, const RequestKey &key);

// Accepting (Gateway.cpp).
void onCallerRequest(Context &ctx, CallerRequest request);
void onCallerFetch(Context &ctx, const CallerFetch &fetch);
void onCallerDisconnected(Context &ctx, const CallerDisconnected &gone);
void onSubmitReply(Context &ctx, const NodeId &from, const message::SubmitReply &reply);
void onCloseReply(Context &ctx, const NodeId &from, const message::CloseReply &reply);
/// Refuses a call with the outcome not_run. The attempt of a non-repeatable request is closed
/// first.
void refuseNotRun(Context &ctx, Call &call, ResultCode code,
                  std::chrono::milliseconds retryAfter = {});
/// Handles the deadlines of a call.
void tickCall(Context &ctx, Call &call);

// Limits (Limits.cpp).
/// Admits a new request under the limits of its customer. Returns false if it is over the limits;
/// the call has then been refused, or its attempt is being closed.
bool admitCall(Context &ctx, Call &call, const Contract &contract);
/// Ends the admission of a call, if it has one; `tokens` is the number of tokens used.
void settleCall(Context &ctx, Call &call, std::uint32_t tokens);
void onDemandReport(Context &ctx, const NodeId &from, const message::DemandReport &report);
void onShareGrant(Context &ctx, const NodeId &from, const message::ShareGrant &grant);
void onEpochProbe(Context &ctx, const NodeId &from, const message::EpochProbe &probe);
void onEpochConfirm(Context &ctx, const NodeId &from, const message::EpochConfirm &confirm);
/// Assumes or gives up the role of limit home for each customer, after a change of the shard map or
/// the contracts.
void updateHomes(Context &ctx);
void tickLimits(Context &ctx);

// Requests that crash back ends (Crashes.cpp).
/// Records that a back end died while it ran this content. `alone` is true if the content ran
/// isolated from other requests.
void recordCrash(Context &ctx, std::uint64_t contentHash, const std::string &backend, bool alone);
void onCrashReport(Context &ctx, const message::CrashReport &report);
/// Sends the pending crash reports to random members.
void gossipCrashReports(Context &ctx, const std::vector<NodeId> &members);

// Reading (Reading.cpp).
/// Reads the answer of a call from `source`, or from the holder of the record if `source` is not
/// set.
void startReading(Context &ctx, Call &call, const NodeId &source);
/// Continues a call that reads: fetches again after a silence, gives up at the deadline.
void tickReading(Context &ctx, Call &call);
void onChunk(Context &ctx, const NodeId &from, const message::Chunk &chunk);
void onEnd(Context &ctx, const NodeId &from, const message::End &end);

// Executing (Execute.cpp).
/// Starts an execution for a call whose request was granted by `holder`.
void startExecution(Context &ctx, Call &call, const message::SubmitReply &reply,
                    const Holder &holder);
/// Starts an execution that this node takes over from another executor.
void startTakeover(Context &ctx, message::RecordCopy record);
/// Lets a call receive the answer of an execution on this node.
void attachCall(Context &ctx, Call &call, Execution &execution);
/// Chooses a back end and calls it, or schedules another try.
void chooseBackend(Context &ctx, Execution &execution);
void onBackendHead(Context &ctx, const BackendHead &head);
void onBackendBytes(Context &ctx, const BackendBytes &bytes);
void onBackendEnd(Context &ctx, const BackendEnd &end);
void onKvExported(Context &ctx, const KvExported &exported);
void onFinishReply(Context &ctx, const NodeId &from, const message::FinishReply &reply);
/// Deletes the execution on this node. Its callers continue as readers of `source`; if this node is
/// handing over its executions, they are told to continue at another node.
void abandonExecution(Context &ctx, Execution &execution, const NodeId &source);
/// Handles the deadlines of an execution.
void tickExecution(Context &ctx, Execution &execution);
/// Moves running model requests from a back end that is leaving to others, with their KV caches.
void migrateFromBackend(Context &ctx, const std::string &backend, TimePoint deadline);

// Reporting to the holder (Report.cpp).
/// Sends the part of the answer that the holder does not have yet.
void reportProgress(Context &ctx, Execution &execution);
/// Sends the end of the execution, or asks the holder to close the attempt.
void reportEnd(Context &ctx, Execution &execution);
/// Registers the execution, with the answer so far, at its holder.
void registerExecution(Context &ctx, Execution &execution);
/// Registers the execution at the new holder if the holder of its record has changed.
void updateHolder(Context &ctx, Execution &execution);
/// Tells the former fallback holders that they need not keep the record any more. Called once the
/// present holder has confirmed it.
void releaseFormerHolders(Context &ctx, Execution &execution);

// Leaving (Leaving.cpp).
void onLeave(Context &ctx, const Leave &leave);
void tickLeaving(Context &ctx);
void onHandoverReply(Context &ctx, const NodeId &from, const message::HandoverReply &reply);

// Membership, documents and shards (Members.cpp, Documents.cpp, Shards.cpp).
/// Carry out the effects of the membership protocol and of the document store.
void applyMembershipEffects(Context &ctx, membership::Effects effects);
void applyConfigEffects(Context &ctx, config::Effects effects);
/// Applies a new version of the shard map or of a contract.
void onDocument(Context &ctx, const Document &document);
void tickDocuments(Context &ctx);
/// Records VMs that no longer exist, as evidence that their nodes have stopped.
void recordDeletedVms(Context &ctx, const std::vector<DeletedVm> &gone);
void onShardDuty(Context &ctx, const ShardDuty &duty);
void onShardMapWritten(Context &ctx, const ShardMapWritten &written);
void onStandbyReady(Context &ctx, const NodeId &from, const message::StandbyReady &ready);
/// Replaces the shard map by `body` if that is valid and newer.
void adoptShardMap(Context &ctx, const std::string &body);
/// On the holder of duty/shards: writes a new shard map if one is needed.
void tickShards(Context &ctx);

} // namespace chervil::node::detail

#endif
