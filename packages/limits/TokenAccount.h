// One node's token balance for the limit of one workspace. Requests are charged to the balance;
// when it does not suffice, the node claims more tokens from the home of the workspace. Usage:
//   if (tryDebit(account, cost, now)) admit();
//   else {
//     enqueue(account, id, cost);
//     if (auto amount = amountToClaim(account, now)) {
//       onClaimSent(account, seq, *amount, now);
//       sendClaim(seq, *amount);   // the answer goes to onTokenGrant()
//     }
//   }
// Not thread-safe.
#ifndef CHERVIL_LIMITS_TOKENACCOUNT_H
#define CHERVIL_LIMITS_TOKENACCOUNT_H

#include "base/Time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace chervil::limits {

/// A request that waits for a grant.
struct WaitingRequest {
  std::uint64_t Request = 0;
  /// In tokens.
  double Cost = 0;
  /// The pending claim covers this request; other requests wait for the next claim.
  bool InClaim = false;
};

struct TokenAccount {
  /// Tokens granted and not spent.
  double Balance = 0;
  /// In order of arrival.
  std::deque<WaitingRequest> Waiting;
  /// Sequence number of the unanswered claim; 0 if there is none.
  std::uint64_t ClaimSeq = 0;
  double ClaimedAmount = 0;
  TimePoint ClaimedAt{};
  /// No claim is sent before this time, because the last one was not granted in full.
  TimePoint NextClaim{};
  /// Smoothed demand of this node in tokens per second.
  double Demand = 0;
  TimePoint Updated{};
};

/// Tokens are claimed in advance for the demand of this period, so that most requests do not wait
/// for a grant.
inline constexpr Duration ClaimAheadTime = std::chrono::milliseconds(400);
/// Delay after a claim that was not granted in full. Without it, a node and the home of an
/// exhausted limit exchanged claims continuously and used the CPU time that requests needed.
inline constexpr Duration PartialGrantPause = std::chrono::milliseconds(40);
/// A claim that is not answered within this time counts as lost. Equals several round trips between
/// regions.
inline constexpr Duration ClaimTimeout = std::chrono::milliseconds(150);

/// Adds the cost to the measured demand. Charges the cost to the balance and returns true if the
/// balance covers it and no request waits.
bool tryDebit(TokenAccount &account, double cost, const Now &now);

/// Appends a request to the queue of waiting requests.
void enqueue(TokenAccount &account, std::uint64_t request, double cost);

/// Removes a request from the queue; does nothing if it is not waiting.
void removeWaiting(TokenAccount &account, std::uint64_t request);

/// Returns the cost of a request that was charged but did not run.
void refund(TokenAccount &account, double cost);

/// Returns the number of tokens to claim now; nothing while a claim is pending, before NextClaim,
/// or if no tokens are needed.
std::optional<double> amountToClaim(const TokenAccount &account, const Now &now);

/// Records a claim. Requests that are waiting now are decided by its grant.
void onClaimSent(TokenAccount &account, std::uint64_t seq, double amount, const Now &now);
/// True if a claim is pending for longer than ClaimTimeout.
bool hasClaimTimedOut(const TokenAccount &account, const Now &now);

/// Ids of the waiting requests that were admitted or rejected.
struct AdmissionDecisions {
  std::vector<std::uint64_t> Admitted;
  std::vector<std::uint64_t> Refused;
};

/// Adds a grant to the balance and decides the waiting requests in order: those that the balance
/// covers are admitted; of the others, those that the claim covered are rejected, and those that
/// arrived after it wait for the next claim. A grant for an older claim only adds to the balance.
AdmissionDecisions onTokenGrant(TokenAccount &account, std::uint64_t seq, double granted,
                                const Now &now);

/// Ends a lost claim; its requests keep waiting.
void onClaimLost(TokenAccount &account);

} // namespace chervil::limits

#endif
