#include "config/Store.h"
#include "node/Context.h"

#include <algorithm>
#include <iterator>

namespace chervil::node::detail {

namespace {

// Number of members to which each node forwards a crash report in one gossip round. With three, one
// round of all nodes reaches about 94% of them.
constexpr std::size_t CrashFanout = 3;
// Number of rounds in which a node forwards a report. After four rounds, the probability that a
// node has been missed is e^-12.
constexpr unsigned CrashGossipRounds = 4;

} // namespace

void recordCrash(Context &ctx, std::uint64_t contentHash, const std::string &backend, bool alone) {
  incrementCounter(ctx, "suspect", "back_end_died");
  ctx.S.Crashes.push_back(
      {retry::recordCrash(ctx.S.Quarantined, contentHash, backend, alone, ctx.Time),
       CrashGossipRounds});
}

void onCrashReport(Context &ctx, const message::CrashReport &report) {
  if (retry::mergeCrashReport(ctx.S.Quarantined, report, ctx.Time))
    ctx.S.Crashes.push_back({report, CrashGossipRounds});
}

void gossipCrashReports(Context &ctx, const std::vector<NodeId> &members) {
  for (PendingCrashReport &it : ctx.S.Crashes) {
    std::vector<NodeId> chosen;
    std::ranges::sample(members, std::back_inserter(chosen), CrashFanout, ctx.Rng);
    for (const NodeId &to : chosen)
      sendTo(ctx, to, it.Report);
    --it.RoundsLeft;
  }
  std::erase_if(ctx.S.Crashes, [](const PendingCrashReport &it) { return it.RoundsLeft == 0; });
}

} // namespace chervil::node::detail
