// What one node does for the rollout of one service: which version new requests go to, the evidence
// from answers, and the reports to the holder. Use:
//   onGrant(share, grant, now);
//   const bool toTarget = takeRequest(share, "route", now, rng);
//   onSent(share, toTarget); ... onAnswer(share, "route", toTarget, AnswerQuality::Good);
//   send(holder, makeReport(share, oldOpen, now));
// Every request of the service is passed to takeRequest() once, also before a grant.
#ifndef CHERVIL_ROLLOUT_NODESHARE_H
#define CHERVIL_ROLLOUT_NODESHARE_H

#include "base/Random.h"
#include "base/Time.h"
#include "message/RolloutGrant.h"
#include "message/RolloutReport.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace chervil::rollout {

/// A node that reports that it is closed stays so for this long: the holder may rely on the report
/// for a second, and the store has to take the write that follows from it.
constexpr Duration ClosedTime = std::chrono::milliseconds(1200);

enum class AnswerQuality : std::uint8_t { Good, Failed, Slow };

struct NodeShare {
  /// The latest grant or notice; its Target is empty until the first.
  message::RolloutGrant Grant;
  /// Units left of it, and when it ends.
  std::uint32_t Units = 0;
  TimePoint Expires{};
  /// Number and time of the last report.
  std::uint64_t Seq = 0;
  TimePoint Reported{};
  /// When the last report was sent that the holder is known to have heard, or the order was
  /// learned.
  TimePoint Answered{};
  std::uint64_t Sent = 0;
  std::uint64_t Seen = 0;
  /// By route and whether it is the target.
  std::map<std::pair<std::string, bool>, message::RolloutCounts> Counts;
};

/// Handles a grant or a notice. Returns true if it was taken.
bool onGrant(NodeShare &share, const message::RolloutGrant &grant, const Now &now);

/// Decides for a new request whether it goes to the target, and counts it.
bool takeRequest(NodeShare &share, std::string_view route, const Now &now, Random &rng);

/// Undoes what takeRequest() counted for the target: no server of the target can take the request
/// now. Only before the next report.
void giveBack(NodeShare &share);

/// True if a grant is in force, which requests that were counted for the target still need when
/// they are sent.
bool isGranted(const NodeShare &share, const Now &now);
/// True if one more send to the target is allowed for a request that takeRequest() has seen, such
/// as a resumed stream.
bool allowsAnother(const NodeShare &share, const Now &now);
/// Counts such a send.
void takeAnother(NodeShare &share);

/// Returns true if new requests go only to the target.
bool isClosed(const NodeShare &share, const Now &now);

/// The order is open and the holder has answered no report for a while, or a grant for closing
/// ends. The node then has to object to the completion of the order: the holder may leave it out,
/// or rely on an earlier report.
bool lacksContact(const NodeShare &share, const Now &now);

/// Notes an answer that is evidence.
void onAnswer(NodeShare &share, std::string_view route, bool target, AnswerQuality quality);
/// Withdraws a failed answer: the request failed at the other version as well.
void withdrawFailure(NodeShare &share, std::string_view route, bool target);

/// Returns the next report and gives up the units that are left.
message::RolloutReport makeReport(NodeShare &share, const std::string &node, std::uint64_t oldOpen,
                                  const Now &now);

} // namespace chervil::rollout

#endif
