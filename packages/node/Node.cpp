#include "node/Node.h"

#include "node/Context.h"
#include "record/Owner.h"
#include "record/Retention.h"
#include "record/Shards.h"
#include "record/Standby.h"

namespace chervil::node {

using namespace std::chrono_literals;

namespace detail {
namespace {

// Interval of periodic work that needs no finer resolution; about every fifth tick.
constexpr Duration SlowTickInterval = 100ms;
// Assumed time until a back end stops if the notice gives no deadline in the future. It is short,
// so that an unknown deadline is treated as near.
constexpr auto DefaultBackendNotice = 5s;

/// Handles messages between nodes, by type.
struct PeerDispatch {
  Context &Ctx;
  const NodeId &From;
  const std::string &Address;

  void operator()(const message::Ping &m) const {
    applyMembershipEffects(Ctx,
                           membership::onPing(Ctx.S.Members, From, Address, m, Ctx.Time, Ctx.Rng));
  }
  void operator()(const message::MemberExchange &m) const {
    applyMembershipEffects(Ctx, membership::onExchange(Ctx.S.Members, From, Address, m, Ctx.Time));
  }
  void operator()(const message::PingRequest &m) const {
    applyMembershipEffects(
        Ctx, membership::onPingRequest(Ctx.S.Members, From, Address, m, Ctx.Time, Ctx.Rng));
  }
  void operator()(const message::Ack &m) const {
    applyMembershipEffects(Ctx,
                           membership::onAck(Ctx.S.Members, From, Address, m, Ctx.Time, Ctx.Rng));
    if (m.Subject == From)
      applyConfigEffects(Ctx, config::onPeerHash(Ctx.S.Documents, From, m.DocsHash, Ctx.Time));
  }
  void operator()(const message::DocUpdate &m) const {
    applyConfigEffects(Ctx, config::onUpdate(Ctx.S.Documents, m, Ctx.Time));
  }
  void operator()(const message::DocDigest &m) const {
    applyConfigEffects(Ctx, config::onDigest(Ctx.S.Documents, From, m, Ctx.Time));
  }
  void operator()(const message::DocRequest &m) const {
    applyConfigEffects(Ctx, config::onRequest(Ctx.S.Documents, From, m));
  }
  void operator()(const message::Submit &m) const {
    applyRecordEffects(Ctx, record::onSubmit(Ctx.S.Records, From, m, Ctx.Time));
  }
  void operator()(const message::SubmitReply &m) const { onSubmitReply(Ctx, From, m); }
  void operator()(const message::ReplicateRecord &m) const {
    applyRecordEffects(Ctx, record::onMark(Ctx.S.Records, From, m, Ctx.Time));
  }
  void operator()(const message::ReplicateRecordReply &m) const {
    applyRecordEffects(Ctx, record::onMarkReply(Ctx.S.Records, From, m, Ctx.Time));
  }
  void operator()(const message::Progress &m) const {
    if (!record::onForwardedProgress(Ctx.S.Records, From, m, Ctx.Time))
      applyRecordEffects(Ctx, record::onProgress(Ctx.S.Records, From, m, Ctx.Time));
  }
  void operator()(const message::Finish &m) const {
    applyRecordEffects(Ctx, record::onFinish(Ctx.S.Records, From, m, Ctx.Time));
  }
  void operator()(const message::FinishReply &m) const { onFinishReply(Ctx, From, m); }
  void operator()(const message::Close &m) const {
    applyRecordEffects(Ctx, record::onClose(Ctx.S.Records, From, m, Ctx.Time));
  }
  void operator()(const message::CloseReply &m) const { onCloseReply(Ctx, From, m); }
  void operator()(const message::Fetch &m) const {
    if (!m.Cancel)
      applyRecordEffects(Ctx,
                         record::checkExecutor(
                             Ctx.S.Records, m.Key,
                             [this](const NodeId &id) { return isAlive(Ctx.S, id); }, Ctx.Time));
    applyRecordEffects(Ctx, record::onFetch(Ctx.S.Records, From, m, Ctx.Time));
  }
  void operator()(const message::Chunk &m) const { onChunk(Ctx, From, m); }
  void operator()(const message::End &m) const { onEnd(Ctx, From, m); }
  void operator()(const message::Handover &m) const {
    if (Ctx.S.Leaving) {
      sendTo(Ctx, From, message::HandoverReply{m.Record.Key, m.Record.Run, false});
      return;
    }
    applyRecordEffects(Ctx, record::onHandover(Ctx.S.Records, From, m, Ctx.Time));
  }
  void operator()(const message::HandoverReply &m) const { onHandoverReply(Ctx, From, m); }
  void operator()(const message::StandbyReady &m) const { onStandbyReady(Ctx, From, m); }
  void operator()(const message::TableChunk &m) const {
    applyRecordEffects(Ctx, record::onTableChunk(Ctx.S.Records, From, m, Ctx.Time));
  }
  void operator()(const message::TableAck &m) const {
    applyRecordEffects(Ctx, record::onTableAck(Ctx.S.Records, From, m, Ctx.Time));
  }
  void operator()(const message::DemandReport &m) const { onDemandReport(Ctx, From, m); }
  void operator()(const message::ShareGrant &m) const { onShareGrant(Ctx, From, m); }
  void operator()(const message::EpochProbe &m) const { onEpochProbe(Ctx, From, m); }
  void operator()(const message::EpochConfirm &m) const { onEpochConfirm(Ctx, From, m); }
  void operator()(const message::CrashReport &m) const { onCrashReport(Ctx, m); }
  void operator()(const message::BackendStatus &m) const {
    routing::applyBackendStatus(Ctx.S.Routes, m, Ctx.Time);
  }
  // Messages of request handling without records (package relay), which this node does not run.
  void operator()(const message::TokenClaim &) const {}
  void operator()(const message::TokenGrant &) const {}
  void operator()(const message::UsageReport &) const {}
  void operator()(const message::BackendListRequest &) const {}
  void operator()(const message::BackendListCopy &) const {}
  void operator()(const message::BackendLoads &) const {}
  void operator()(const message::CachedPromptParts &) const {}
  void operator()(const message::BackendListDelta &) const {}
  void operator()(const message::ConfigurationStatus &) const {}
  void operator()(const message::PartEvidence &) const {}
  void operator()(const message::BackendDeparture &) const {}
  void operator()(const message::BackendLimits &) const {}
  void operator()(const message::SendClaim &) const {}
  void operator()(const message::SendGrant &) const {}
  void operator()(const message::DutyHolderAnnouncement &) const {}
  void operator()(const message::RolloutReport &) const {}
  void operator()(const message::RolloutGrant &) const {}
};

void onBackendNotice(Context &ctx, const BackendNotice &notice) {
  const auto left = notice.LeaveBy > ctx.Time.Wall
                        ? std::chrono::duration_cast<Duration>(notice.LeaveBy - ctx.Time.Wall)
                        : Duration(DefaultBackendNotice);
  const TimePoint deadline = ctx.Time.Steady + left;
  routing::backendLeaving(ctx.S.Routes, notice.Backend, deadline, ctx.Time);
  migrateFromBackend(ctx, notice.Backend, deadline);
}

void onBackendList(Context &ctx, const BackendList &list) {
  routing::updateBackends(ctx.S.Routes, list.Backends, ctx.Time);
  for (const routing::Backend &it : list.Backends)
    if (it.State == routing::BackendState::Leaving)
      migrateFromBackend(ctx, it.Name, it.Deadline);
}

void onNodeNotices(Context &ctx, const NodeNotices &notices) {
  for (const membership::VmNotice &it : notices.Notices)
    if (it.Leaving && it.Name == ctx.S.Self.Name && it.LeaveBy > ctx.Time.Wall)
      onLeave(ctx, {it.LeaveBy});
  recordDeletedVms(ctx, notices.DeletedVms);
  applyMembershipEffects(ctx, membership::applyVmNotices(ctx.S.Members, notices.Notices, ctx.Time));
}

/// Messages on the failed connection may be lost. Executions whose holder is the peer are
/// registered again, and answers that were read from it are read again from the caller's offset.
void onPeerUnreachable(Context &ctx, const std::string &address) {
  incrementCounter(ctx, "retry", "peer_unreachable");
  const auto isAt = [&](const NodeId &id) {
    const membership::Member *member = membership::find(ctx.S.Members, id);
    return member != nullptr && member->Info.PeerAddress == address;
  };
  for (auto &[key, execution] : ctx.S.Executions)
    if (isAt(execution.Holder))
      execution.RegisterDue = ctx.Time.Steady + ctx.S.Settings.RepeatDelay;
  for (auto &[handle, call] : ctx.S.Calls)
    if (call.Mode == CallMode::Reading && call.Reader != 0 && isAt(call.Source)) {
      ctx.S.Readers.erase(call.Reader);
      call.Reader = 0;
      call.NextTry = ctx.Time.Steady + ctx.S.Settings.RepeatDelay;
    }
}

void tickCalls(Context &ctx) {
  std::vector<std::uint64_t> handles;
  for (const auto &[handle, call] : ctx.S.Calls)
    if (call.Mode != CallMode::Executing)
      handles.push_back(handle);
  for (const std::uint64_t handle : handles)
    if (const auto it = ctx.S.Calls.find(handle); it != ctx.S.Calls.end())
      tickCall(ctx, it->second);
}

void tickExecutions(Context &ctx) {
  for (auto &[key, execution] : ctx.S.Executions)
    tickExecution(ctx, execution);
}

/// Runs the periodic work that needs no finer resolution than SlowTickInterval.
void runSlowTick(Context &ctx) {
  if (ctx.Time.Steady < ctx.S.NextSlowTick)
    return;
  ctx.S.NextSlowTick = ctx.Time.Steady + SlowTickInterval;
  applyMembershipEffects(ctx, membership::tick(ctx.S.Members, ctx.Time, ctx.Rng));
  applyRecordEffects(ctx, record::tick(ctx.S.Records, ctx.Time));
  routing::tick(ctx.S.Routes, ctx.Time);
  for (auto &[key, execution] : ctx.S.Executions)
    updateHolder(ctx, execution);
  tickDocuments(ctx);
  tickShards(ctx);
  tickLimits(ctx);
  tickLeaving(ctx);
}

/// Handles events, by type.
struct EventDispatch {
  Context &Ctx;

  void operator()(const CallerRequest &e) const { onCallerRequest(Ctx, e); }
  void operator()(const CallerFetch &e) const { onCallerFetch(Ctx, e); }
  void operator()(const CallerDisconnected &e) const { onCallerDisconnected(Ctx, e); }
  void operator()(const BackendHead &e) const { onBackendHead(Ctx, e); }
  void operator()(const BackendBytes &e) const { onBackendBytes(Ctx, e); }
  void operator()(const BackendEnd &e) const { onBackendEnd(Ctx, e); }
  void operator()(const KvExported &e) const { onKvExported(Ctx, e); }
  void operator()(const BackendLoad &e) const {
    routing::applyLoadReport(Ctx.S.Routes, {e.Backend, e.Age, e.Running, e.Queued}, Ctx.Time);
  }
  void operator()(const BackendList &e) const { onBackendList(Ctx, e); }
  void operator()(const BackendNotice &e) const { onBackendNotice(Ctx, e); }
  void operator()(const NodeNotices &e) const { onNodeNotices(Ctx, e); }
  void operator()(const Document &e) const {
    applyConfigEffects(Ctx,
                       config::onUpdate(Ctx.S.Documents, {e.Name, e.Version, e.Body}, Ctx.Time));
  }
  void operator()(const ShardDuty &e) const { onShardDuty(Ctx, e); }
  void operator()(const ShardMapWritten &e) const { onShardMapWritten(Ctx, e); }
  void operator()(const Leave &e) const { onLeave(Ctx, e); }
  void operator()(const PeerMessage &e) const {
    std::visit(PeerDispatch{Ctx, e.From, e.Address}, e.Body);
  }
  void operator()(const PeerUnreachable &e) const { onPeerUnreachable(Ctx, e.Address); }
  void operator()(const OwnLoad &e) const {
    membership::setLoad(Ctx.S.Members, e.Percent, Ctx.Time);
  }
  void operator()(const Tick &) const {
    tickCalls(Ctx);
    tickExecutions(Ctx);
    runSlowTick(Ctx);
  }
};

/// Handles the messages of the node to itself, including those that this causes.
void dispatchLocalMessages(Context &ctx) {
  static const std::string noAddress;
  while (!ctx.Local.empty()) {
    const message::Message what = std::move(ctx.Local.front());
    ctx.Local.pop_front();
    std::visit(PeerDispatch{ctx, ctx.S.Self, noAddress}, what);
  }
}

} // namespace
} // namespace detail

State makeState(message::MemberUpdate self, std::vector<std::string> seeds,
                const ComponentOptions &options, const Now &now) {
  State state;
  state.Settings = options.Node;
  state.Self = self.Id;
  state.DataCentre = self.DataCentre;
  state.Records.Self = self.Id;
  state.Records.DataCentre = self.DataCentre;
  state.Records.Settings = options.Record;
  routing::Options routes = options.Routing;
  routes.Node = self.Id.Name;
  routes.DataCentre = self.DataCentre;
  state.Routes = routing::makeState(std::move(routes));
  state.Members = membership::start(std::move(self), std::move(seeds), options.Membership, now);
  return state;
}

std::vector<Effect> handleEvent(State &state, const Event &event, const Now &now, Random &rng) {
  std::vector<Effect> out;
  detail::Context ctx{state, now, rng, out, {}};
  std::visit(detail::EventDispatch{ctx}, event);
  detail::dispatchLocalMessages(ctx);
  return out;
}

bool isReady(const State &state) {
  return state.Map.Version > 0 && !state.Contracts.empty() && !state.Routes.Index.empty();
}

std::vector<std::string> entryAddresses(const State &state, std::string_view caller) {
  // Maximum number of addresses returned.
  constexpr std::size_t limit = 9;
  std::vector<std::string> addresses;
  for (const membership::Member *it : membership::entryList(state.Members, caller, limit))
    addresses.push_back(it->Info.CallerAddress);
  return addresses;
}

} // namespace chervil::node
