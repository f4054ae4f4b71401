// A node's account of one workspace's limit: what it may admit, and what it claims. Use:
//   if (take(account, cost, now)) admit();
//   else if (auto claim = nextClaim(account, now)) sendToHome(*claim);
// Not thread-safe.
#ifndef CHERVIL_LIMITS_TOKENACCOUNT_H
#define CHERVIL_LIMITS_TOKENACCOUNT_H

#include "base/Time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace chervil::limits {

struct WaitingRequest {
  std::uint64_t Request = 0;
  double Cost = 0;
  /// Part of the claim under way; others wait for the next one.
  bool InClaim = false;
};

struct TokenAccount {
  /// Granted and not used.
  double Balance = 0;
  std::deque<WaitingRequest> Waiting;
  /// The claim that is not answered; 0 if there is none.
  std::uint64_t ClaimSeq = 0;
  double ClaimedAmount = 0;
  TimePoint ClaimedAt{};
  /// No claim before this time, because the last one was not granted whole.
  TimePoint NextClaim{};
  /// Smoothed tokens per second that requests of this node need.
  double Demand = 0;
  TimePoint Updated{};
};

/// Time for which demand is claimed ahead, so that most requests wait for no grant.
inline constexpr Duration ClaimAheadTime = std::chrono::milliseconds(400);
/// Pause after a claim that was not granted whole. Without it, a node and the home of an exhausted
/// limit exchanged claims as fast as they could, and took the processor from requests.
inline constexpr Duration PartialGrantPause = std::chrono::milliseconds(40);
/// A claim that is not answered in this time is taken as lost. Several round trips between regions.
inline constexpr Duration ClaimTimeout = std::chrono::milliseconds(150);

/// Counts demand, and takes the cost if the balance covers it and nobody waits.
bool tryDebit(TokenAccount &account, double cost, const Now &now);

/// Puts a request behind the others that wait.
void enqueue(TokenAccount &account, std::uint64_t request, double cost);

/// Removes a request that waits; does nothing for others.
void removeWaiting(TokenAccount &account, std::uint64_t request);

/// Returns a cost that was taken for a request that did not run.
void refund(TokenAccount &account, double cost);

/// Amount to claim now; absent while a claim is under way or may not follow yet, and when nothing
/// is needed.
std::optional<double> amountToClaim(const TokenAccount &account, const Now &now);

void onClaimSent(TokenAccount &account, std::uint64_t seq, double amount, const Now &now);
bool hasClaimTimedOut(const TokenAccount &account, const Now &now);

struct AdmissionDecisions {
  std::vector<std::uint64_t> Admitted;
  std::vector<std::uint64_t> Refused;
};

/// Adds a grant and decides about the requests that waited: those that the balance does not cover
/// are refused, or wait for the next claim if they came after this one. A grant of an older claim
/// only adds to the balance.
AdmissionDecisions onTokenGrant(TokenAccount &account, std::uint64_t seq, double granted,
                                const Now &now);

/// Ends a lost claim; the requests go on waiting.
void onClaimLost(TokenAccount &account);

} // namespace chervil::limits

#endif
