#include "limits/TokenAccount.h"

#include <algorithm>
#include <cmath>

namespace chervil::limits {
namespace {

// Time constant of the exponential smoothing of demand.
constexpr double DemandTimeConstantSeconds = 2;

double secondsOf(Duration d) { return std::chrono::duration<double>(d).count(); }

void countDemand(TokenAccount &account, double cost, const Now &now) {
  const double age = secondsOf(now.Steady - account.Updated);
  account.Demand = account.Demand * std::exp(-age / DemandTimeConstantSeconds) +
                   cost / DemandTimeConstantSeconds;
  account.Updated = now.Steady;
}

double totalWaitingCost(const TokenAccount &account) {
  double sum = 0;
  for (const WaitingRequest &it : account.Waiting)
    sum += it.Cost;
  return sum;
}

} // namespace

bool tryDebit(TokenAccount &account, double cost, const Now &now) {
  countDemand(account, cost, now);
  if (!account.Waiting.empty() || account.Balance < cost)
    return false;
  account.Balance -= cost;
  return true;
}

void enqueue(TokenAccount &account, std::uint64_t request, double cost) {
  account.Waiting.push_back({request, cost});
}

void removeWaiting(TokenAccount &account, std::uint64_t request) {
  std::erase_if(account.Waiting, [&](const WaitingRequest &it) { return it.Request == request; });
}

void refund(TokenAccount &account, double cost) { account.Balance += cost; }

std::optional<double> amountToClaim(const TokenAccount &account, const Now &now) {
  if (account.ClaimSeq != 0 || now.Steady < account.NextClaim)
    return std::nullopt;
  const double ahead = account.Demand * secondsOf(ClaimAheadTime);
  const double need = totalWaitingCost(account);
  // Claims only after half of the reserve has been spent, so that a busy node sends few claims.
  if (need == 0 && account.Balance > ahead / 2)
    return std::nullopt;
  const double amount = need + ahead - account.Balance;
  return amount > 1 ? std::optional(amount) : std::nullopt;
}

void onClaimSent(TokenAccount &account, std::uint64_t seq, double amount, const Now &now) {
  account.ClaimSeq = seq;
  account.ClaimedAmount = amount;
  account.ClaimedAt = now.Steady;
  for (WaitingRequest &it : account.Waiting)
    it.InClaim = true;
}

bool hasClaimTimedOut(const TokenAccount &account, const Now &now) {
  return account.ClaimSeq != 0 && now.Steady - account.ClaimedAt > ClaimTimeout;
}

AdmissionDecisions onTokenGrant(TokenAccount &account, std::uint64_t seq, double granted,
                                const Now &now) {
  AdmissionDecisions out;
  account.Balance += granted;
  if (seq != account.ClaimSeq)
    return out;
  account.ClaimSeq = 0;
  if (granted < account.ClaimedAmount)
    account.NextClaim = now.Steady + PartialGrantPause;
  const std::deque<WaitingRequest> waiting = std::move(account.Waiting);
  account.Waiting.clear();
  for (const WaitingRequest &it : waiting) {
    if (it.Cost <= account.Balance) {
      account.Balance -= it.Cost;
      out.Admitted.push_back(it.Request);
    } else if (it.InClaim) {
      out.Refused.push_back(it.Request);
    } else {
      account.Waiting.push_back(it);
    }
  }
  return out;
}

void onClaimLost(TokenAccount &account) { account.ClaimSeq = 0; }

} // namespace chervil::limits
