#include "config/Store.h"
#include "node/Context.h"

#include <algorithm>
#include <iterator>

namespace chervil::node::detail {

namespace {

// A report passed on to three members in one round reaches about 94% of the nodes; in four rounds
// each node is missed with a probability of e^-12.
constexpr unsigned CrashGossipRounds = 4;
constexpr std::size_t CrashFanout = 3;

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
