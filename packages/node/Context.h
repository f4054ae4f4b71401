// Internal to the package: what every handler works with, and small helpers they share.
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

struct Context {
  State &S;
  const Now &Time;
  Random &Rng;
  std::vector<Effect> &Out;
  /// Messages of the node to itself, handled before the event ends.
  std::deque<message::Message> Local;
};

/// Where the record of a request is kept, or is to be kept.
struct Holder {
  NodeId Node;
  bool Fallback = false;
};

void emit(Context &ctx, Effect effect);
void incrementCounter(Context &ctx, const char *metric, const char *reason);
void reportViolation(Context &ctx, Invariant what, std::string detail);

/// Sends to a member; a message to this node itself is handled before the event ends. Messages to
/// members without a known address are dropped.
void sendTo(Context &ctx, const NodeId &to, message::Message what);

/// Carries out what the record table asks for.
void applyRecordEffects(Context &ctx, record::Effects effects);

/// True if the member is known and not dead.
bool isAlive(const State &state, const NodeId &id);
/// True if the member is alive and is not about to stop.
bool isStaying(const State &state, const NodeId &id);

/// The shard of a key under the current map; null without a map.
const record::ShardView *shardFor(const State &state, const RequestKey &key);

/// The staying node with the highest hash for the key, in another data centre if there is one; this
/// node if there is no other. `excluded` may be empty.
NodeId rendezvousNode(const State &state, const RequestKey &key,
                      const std::function<bool(const NodeId &)> &excluded);

/// The owner if it is alive; for repeatable work else the standby, else a live node in another data
/// centre chosen by rendezvous hash of the key, else any other node, else this node. `avoidOwner`
/// passes over an owner that did not answer.
std::optional<Holder> holderFor(const State &state, const RequestKey &key, bool repeatable,
                                bool avoidOwner);

// Calls (Calls.cpp).
void finishCall(Context &ctx, Call &call, std::uint16_t status, const std::string &contentType,
                std::uint32_t tokens);
void refuseCall(Context &ctx, Call &call, ResultCode code, std::uint32_t nextAttempt = 0);
void moveCall(Context &ctx, Call &call);
void forgetCall(Context &ctx, std::uint64_t handle);
/// Delivers the part of `bytes` (which starts at `offset` of the answer) that the caller lacks.
void deliver(Context &ctx, Call &call, std::uint64_t offset, std::string_view bytes);
/// Calls of this node that wait for the owner's verdict on a key.
std::vector<std::uint64_t> waitingCalls(const State &state, const RequestKey &key);

// Accepting (Gateway.cpp).
void onCallerRequest(Context &ctx, CallerRequest request);
void onCallerFetch(Context &ctx, const CallerFetch &fetch);
void onCallerDisconnected(Context &ctx, const CallerDisconnected &gone);
void onSubmitReply(Context &ctx, const NodeId &from, const message::SubmitReply &reply);
void onCloseReply(Context &ctx, const NodeId &from, const message::CloseReply &reply);
/// Refuses with an outcome of not_run: a non-repeatable attempt is closed first.
void refuseNotRun(Context &ctx, Call &call, ResultCode code,
                  std::chrono::milliseconds retryAfter = {});
void tickCall(Context &ctx, Call &call);

// Limits (Limits.cpp).
/// Counts a new request against the limits of its customer. A refused call has been answered, or is
/// being closed.
bool admitCall(Context &ctx, Call &call, const Contract &contract);
/// Ends the admission of a call, if it has one, with the tokens it used.
void settleCall(Context &ctx, Call &call, std::uint32_t tokens);
void onDemandReport(Context &ctx, const NodeId &from, const message::DemandReport &report);
void onShareGrant(Context &ctx, const NodeId &from, const message::ShareGrant &grant);
void onEpochProbe(Context &ctx, const NodeId &from, const message::EpochProbe &probe);
void onEpochConfirm(Context &ctx, const NodeId &from, const message::EpochConfirm &confirm);
/// Takes or gives up the role of limit home after a change of the shard map or the contracts.
void updateHomes(Context &ctx);
void tickLimits(Context &ctx);

// Crashing requests (Crashes.cpp).
/// A back end died while it ran this content.
void recordCrash(Context &ctx, std::uint64_t contentHash, const std::string &backend, bool alone);
void onCrashReport(Context &ctx, const message::CrashReport &report);
void gossipCrashReports(Context &ctx, const std::vector<NodeId> &members);

// Reading (Reading.cpp).
void startReading(Context &ctx, Call &call, const NodeId &source);
void onChunk(Context &ctx, const NodeId &from, const message::Chunk &chunk);
void onEnd(Context &ctx, const NodeId &from, const message::End &end);

// Executing (Execute.cpp).
void startExecution(Context &ctx, Call &call, const message::SubmitReply &reply,
                    const Holder &holder);
void startTakeover(Context &ctx, message::RecordCopy record);
void attachCall(Context &ctx, Call &call, Execution &execution);
void chooseBackend(Context &ctx, Execution &execution);
void onBackendHead(Context &ctx, const BackendHead &head);
void onBackendBytes(Context &ctx, const BackendBytes &bytes);
void onBackendEnd(Context &ctx, const BackendEnd &end);
void onKvExported(Context &ctx, const KvExported &exported);
void onFinishReply(Context &ctx, const NodeId &from, const message::FinishReply &reply);
/// Stops the execution here; its callers go on as readers of `source`, or are told to move.
void abandonExecution(Context &ctx, Execution &execution, const NodeId &source);
void tickExecution(Context &ctx, Execution &execution);
/// Moves what will not finish in time off a back end that is leaving.
void migrateFromBackend(Context &ctx, const std::string &backend, TimePoint deadline);

// Reporting to the holder (Report.cpp).
void reportProgress(Context &ctx, Execution &execution);
void reportEnd(Context &ctx, Execution &execution);
void registerExecution(Context &ctx, Execution &execution);
void updateHolder(Context &ctx, Execution &execution);

// Leaving (Leaving.cpp).
void onLeave(Context &ctx, const Leave &leave);
void tickLeaving(Context &ctx);
void onHandoverReply(Context &ctx, const NodeId &from, const message::HandoverReply &reply);

// Membership, documents and shards (Members.cpp, Documents.cpp, Shards.cpp).
void applyMembershipEffects(Context &ctx, membership::Effects effects);
void applyConfigEffects(Context &ctx, config::Effects effects);
void onDocument(Context &ctx, const Document &document);
void tickDocuments(Context &ctx);
/// Keeps the VMs that are gone as proof that their nodes have stopped.
void recordDeletedVms(Context &ctx, const std::vector<DeletedVm> &gone);
void onShardDuty(Context &ctx, const ShardDuty &duty);
void onShardMapWritten(Context &ctx, const ShardMapWritten &written);
void onStandbyReady(Context &ctx, const NodeId &from, const message::StandbyReady &ready);
void adoptShardMap(Context &ctx, const std::string &body);
void tickShards(Context &ctx);

} // namespace chervil::node::detail

#endif
