#include "membership/Queries.h"
#include "node/Context.h"

#include <algorithm>
#include <set>

namespace chervil::node::detail {

using message::WorkKind;

namespace {

/// Returns a function that looks up the limits of a customer; it refers to `state`.
limits::LimitsLookup limitsOf(const State &state) {
  return [&state](const std::string &customer) -> const ContractLimits * {
    const auto it = state.Contracts.find(customer);
    return it == state.Contracts.end() ? nullptr : &it->second.Limits;
  };
}

/// Returns the key whose shard determines the limit home of a customer.
RequestKey limitHomeKey(const std::string &customer) { return {customer, ""}; }

/// True if this node already runs, waits for or stores the key, so that the request is a replay.
bool isKnownHere(const State &state, const Call &call) {
  if (state.Executions.contains(call.Key) || state.Records.Records.contains(call.Key))
    return true;
  const auto keyed = state.CallsByKey.find(call.Key);
  return keyed != state.CallsByKey.end() && keyed->second.size() > 1;
}

/// Reports the demand of this node's callers to the limit homes.
void sendReports(Context &ctx) {
  const message::DemandReport all =
      limits::makeDemandReport(ctx.S.Limits.Node, limitsOf(ctx.S), ctx.Time);
  std::map<NodeId, message::DemandReport> byHome;
  for (const message::Demand &it : all.Demands)
    if (const record::ShardView *shard = shardFor(ctx.S, limitHomeKey(it.Customer));
        shard != nullptr && isSet(shard->Owner))
      byHome[shard->Owner].Demands.push_back(it);
  for (auto &[home, report] : byHome)
    sendTo(ctx, home, std::move(report));
}

/// Asks the standbys of the shards for which this node is limit home to confirm the epoch.
void sendProbes(Context &ctx) {
  std::set<std::uint32_t> shards;
  for (const auto &[customer, home] : ctx.S.Limits.Home.Customers)
    if (!home.Demands.empty())
      shards.insert(record::shardOf(ctx.S.Records, limitHomeKey(customer)));
  for (const std::uint32_t number : shards) {
    const record::ShardView &shard = ctx.S.Records.Shards[number];
    if (!isSet(shard.Standby))
      continue;
    const std::uint64_t seq = ctx.S.Limits.NextSeq++;
    ctx.S.Limits.Probes[number] = {seq, shard.Epoch, ctx.Time.Steady};
    sendTo(ctx, shard.Standby, message::EpochProbe{number, shard.Epoch, seq});
  }
}

} // namespace

bool admitCall(Context &ctx, Call &call, const Contract &contract) {
  if (isKnownHere(ctx.S, call))
    return true;
  const auto &spec = call.Request.Record.Spec;
  const std::uint32_t tokens = spec.Kind == WorkKind::Model ? spec.MaxTokens : 0;
  const limits::Admission admission =
      limits::admit(ctx.S.Limits.Node, contract.Customer, contract.Limits, tokens, ctx.Time);
  if (admission.Code == ResultCode::Ok) {
    call.HoldsSlot = true;
    call.AdmittedTokens = tokens;
    retry::onRequest(ctx.S.RetryBudgets, contract.Customer, ctx.Time);
    return true;
  }
  refuseNotRun(ctx, call, admission.Code,
               std::chrono::ceil<std::chrono::milliseconds>(admission.RetryAfter));
  return false;
}

void settleCall(Context &ctx, Call &call, std::uint32_t tokens) {
  if (!call.HoldsSlot)
    return;
  call.HoldsSlot = false;
  // Without a contract, there are no limits of the customer any more.
  if (const ContractLimits *contract = limitsOf(ctx.S)(call.Key.Customer); contract != nullptr)
    limits::settle(ctx.S.Limits.Node, call.Key.Customer, *contract, call.AdmittedTokens, tokens,
                   ctx.Time);
}

void onDemandReport(Context &ctx, const NodeId &from, const message::DemandReport &report) {
  limits::onDemandReport(ctx.S.Limits.Home, from, report, ctx.Time);
}

void onShareGrant(Context &ctx, const NodeId &from, const message::ShareGrant &grant) {
  // A grant of the former home may arrive after the shard map has changed. It is still valid: the
  // new home waits until the lifetime of such grants has ended.
  if (isAlive(ctx.S, from))
    limits::onShareGrant(ctx.S.Limits.Node, grant, limitsOf(ctx.S), ctx.Time);
}

void onEpochProbe(Context &ctx, const NodeId &from, const message::EpochProbe &probe) {
  if (probe.Shard >= ctx.S.Records.Shards.size())
    return;
  const record::ShardView &shard = ctx.S.Records.Shards[probe.Shard];
  if (shard.Standby == ctx.S.Self && shard.Owner == from && shard.Epoch == probe.Epoch)
    sendTo(ctx, from, message::EpochConfirm{probe.Shard, probe.Epoch, probe.Seq});
}

void onEpochConfirm(Context &ctx, const NodeId &from, const message::EpochConfirm &confirm) {
  const auto probe = ctx.S.Limits.Probes.find(confirm.Shard);
  if (probe == ctx.S.Limits.Probes.end() || probe->second.Seq != confirm.Seq ||
      probe->second.Epoch != confirm.Epoch || confirm.Shard >= ctx.S.Records.Shards.size() ||
      ctx.S.Records.Shards[confirm.Shard].Standby != from)
    return;
  for (const auto &[customer, home] : ctx.S.Limits.Home.Customers)
    if (record::shardOf(ctx.S.Records, limitHomeKey(customer)) == confirm.Shard)
      limits::confirmEpoch(ctx.S.Limits.Home, customer, confirm.Epoch, probe->second.At);
}

void updateHomes(Context &ctx) {
  std::erase_if(ctx.S.Limits.Home.Customers,
                [&](const auto &it) { return !ctx.S.Contracts.contains(it.first); });
  for (const auto &[customer, contract] : ctx.S.Contracts) {
    const record::ShardView *shard = shardFor(ctx.S, limitHomeKey(customer));
    if (shard != nullptr && shard->LocalRole == record::Role::Owner)
      limits::becomeHome(ctx.S.Limits.Home, customer, shard->Epoch, ctx.Time);
    else
      limits::resignHome(ctx.S.Limits.Home, customer);
  }
}

void tickLimits(Context &ctx) {
  if (ctx.Time.Steady < ctx.S.Limits.NextReport)
    return;
  ctx.S.Limits.NextReport = ctx.Time.Steady + limits::ReportInterval;
  if (ctx.Time.Steady >= ctx.S.NextPrune) {
    ctx.S.NextPrune = ctx.Time.Steady + std::chrono::minutes(1);
    retry::prune(ctx.S.RetryBudgets, ctx.Time);
    retry::prune(ctx.S.Quarantined, ctx.Time);
  }
  limits::setLiveNodes(ctx.S.Limits.Node, membership::live(ctx.S.Members).size(), ctx.Time);
  sendReports(ctx);
  sendProbes(ctx);
  for (limits::HomeGrant &it : limits::grantShares(ctx.S.Limits.Home, limitsOf(ctx.S), ctx.Time))
    sendTo(ctx, it.To, std::move(it.Body));
}

} // namespace chervil::node::detail
