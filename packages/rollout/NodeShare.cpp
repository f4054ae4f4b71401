#include "rollout/NodeShare.h"

#include <algorithm>

namespace chervil::rollout {
namespace {

using namespace std::chrono_literals;

// A node that hears nothing of the holder sends nothing new to the target after this time. Both are
// well below the 5 s in which a bad version must be left.
constexpr Duration UnitsLifetime = 1s;
constexpr Duration ShareLifetime = 2s;
constexpr std::uint32_t Whole = 1000;
// Objections have to be in the store well within the time for which the holder waits for them, and
// before a grant for closing ends: a write of the holder may be on its way then.
constexpr Duration ContactTime = 1s;
constexpr Duration ClosingEndsTime = 500ms;

message::RolloutCounts &countsOf(NodeShare &share, std::string_view route, bool target) {
  auto &counts = share.Counts[{std::string(route), target}];
  counts.Route = route;
  counts.Target = target;
  return counts;
}

bool isInForce(const NodeShare &share, const Now &now) {
  return share.Grant.Ended == 0 && now.Steady < share.Expires;
}

std::uint32_t permilleOf(const message::RolloutGrant &grant, std::string_view route) {
  const auto it = std::ranges::find(grant.Routes, route, &message::RolloutRouteShare::Route);
  return it == grant.Routes.end() ? grant.SharePermille : it->Permille;
}

} // namespace

bool onGrant(NodeShare &share, const message::RolloutGrant &grant, const Now &now) {
  if (grant.Token < share.Grant.Token)
    return false;
  const bool isOtherOrder = grant.Order != share.Grant.Order || grant.Target != share.Grant.Target;
  if (isOtherOrder) {
    // Requests seen before the order do not count towards its budget.
    share = {};
    share.Grant = grant;
    share.Grant.Bounded = true;
    share.Answered = now.Steady;
    return true;
  }
  if (grant.Ended != 0) {
    share.Grant = grant;
    share.Units = 0;
    return true;
  }
  share.Grant.Token = grant.Token;
  if (grant.Heard != 0 && grant.Heard == share.Seq)
    share.Answered = share.Reported;
  // The holder no longer counts on units that were given up with a later report.
  if (grant.Seq == 0 || grant.Seq != share.Seq || share.Grant.Ended != 0)
    return false;
  const TimePoint expires = share.Reported + (grant.Bounded ? UnitsLifetime : ShareLifetime);
  if (expires <= now.Steady)
    return false;
  share.Grant = grant;
  share.Units = grant.Units;
  share.Expires = expires;
  return true;
}

bool takeRequest(NodeShare &share, std::string_view route, const Now &now, Random &rng) {
  if (share.Grant.Target.empty())
    return false;
  ++share.Seen;
  if (!isInForce(share, now))
    return false;
  const message::RolloutGrant &grant = share.Grant;
  if (grant.Bounded && share.Units == 0)
    return false;
  std::uniform_int_distribution<std::uint32_t> draw(0, Whole - 1);
  if (draw(rng) >= permilleOf(grant, route))
    return false;
  if (grant.Bounded)
    --share.Units;
  ++share.Sent;
  return true;
}

void giveBack(NodeShare &share) {
  --share.Sent;
  if (share.Grant.Bounded)
    ++share.Units;
}

bool isGranted(const NodeShare &share, const Now &now) { return isInForce(share, now); }

bool allowsAnother(const NodeShare &share, const Now &now) {
  return isInForce(share, now) && (!share.Grant.Bounded || share.Units > 0);
}

void takeAnother(NodeShare &share) {
  ++share.Sent;
  if (share.Grant.Bounded && share.Units > 0)
    --share.Units;
}

bool isClosed(const NodeShare &share, const Now &now) {
  return isInForce(share, now) && share.Grant.Closing;
}

bool lacksContact(const NodeShare &share, const Now &now) {
  if (share.Grant.Target.empty() || share.Grant.Ended != 0)
    return false;
  return now.Steady - share.Answered > ContactTime ||
         (share.Grant.Closing && share.Expires - now.Steady < ClosingEndsTime);
}

void onAnswer(NodeShare &share, std::string_view route, bool target, AnswerQuality quality) {
  if (share.Grant.Target.empty())
    return;
  message::RolloutCounts &counts = countsOf(share, route, target);
  ++counts.Answers;
  counts.Failed += quality == AnswerQuality::Failed ? 1 : 0;
  counts.Slow += quality == AnswerQuality::Slow ? 1 : 0;
}

void withdrawFailure(NodeShare &share, std::string_view route, bool target) {
  message::RolloutCounts &counts = countsOf(share, route, target);
  if (counts.Failed == 0)
    return;
  --counts.Answers;
  --counts.Failed;
}

message::RolloutReport makeReport(NodeShare &share, const std::string &node, std::uint64_t oldOpen,
                                  const Now &now) {
  message::RolloutReport out;
  out.Service = share.Grant.Service;
  out.Order = share.Grant.Order;
  out.Node = node;
  out.Seq = ++share.Seq;
  out.Sent = share.Sent;
  out.Seen = share.Seen;
  out.OldOpen = oldOpen;
  out.Closed = isClosed(share, now) && share.Expires - now.Steady >= ClosedTime;
  for (const auto &[key, counts] : share.Counts)
    out.Counts.push_back(counts);
  share.Units = 0;
  share.Reported = now.Steady;
  return out;
}

} // namespace chervil::rollout
