#include "limits/TokenAccount.h"

#include <algorithm>
#include <cmath>

namespace chervil::limits {
namespace {

// Time over which demand is smoothed.
constexpr double DemandSeconds = 2;

double secondsOf(Duration d) { return std::chrono::duration<double>(d).count(); }

void countDemand(TokenAccount &account, double cost, const Now &now) {
  const double age = secondsOf(now.Steady - account.Updated);
  account.Demand = account.Demand * std::exp(-age / DemandSeconds) + cost / DemandSeconds;
  account.Updated = now.Steady;
}

double waitingCost(const TokenAccount &account) {
  double sum = 0;
  for (const WaitingCost &it : account.Waiting)
    sum += it.Cost;
  return sum;
}

} // namespace

bool take(TokenAccount &account, double cost, const Now &now) {
  countDemand(account, cost, now);
  if (!account.Waiting.empty() || account.Balance < cost)
    return false;
  account.Balance -= cost;
  return true;
}

void wait(TokenAccount &account, std::uint64_t request, double cost) {
  account.Waiting.push_back({request, cost});
}

void forget(TokenAccount &account, std::uint64_t request) {
  std::erase_if(account.Waiting, [&](const WaitingCost &it) { return it.Request == request; });
}

void giveBack(TokenAccount &account, double cost) { account.Balance += cost; }

std::optional<double> amountToClaim(const TokenAccount &account, const Now &now) {
  if (account.Seq != 0 || now.Steady < account.NextClaim)
    return std::nullopt;
  const double ahead = account.Demand * secondsOf(ClaimAhead);
  const double need = waitingCost(account);
  // Claimed in steps of half the reserve, so that a busy node sends few claims.
  if (need == 0 && account.Balance > ahead / 2)
    return std::nullopt;
  const double amount = need + ahead - account.Balance;
  return amount > 1 ? std::optional(amount) : std::nullopt;
}

void onClaimed(TokenAccount &account, std::uint64_t seq, double amount, const Now &now) {
  account.Seq = seq;
  account.ClaimedAmount = amount;
  account.ClaimedAt = now.Steady;
  for (WaitingCost &it : account.Waiting)
    it.Claimed = true;
}

bool isClaimLate(const TokenAccount &account, const Now &now) {
  return account.Seq != 0 && now.Steady - account.ClaimedAt > ClaimTimeout;
}

Admissions onGranted(TokenAccount &account, std::uint64_t seq, double granted, const Now &now) {
  Admissions out;
  account.Balance += granted;
  if (seq != account.Seq)
    return out;
  account.Seq = 0;
  if (granted < account.ClaimedAmount)
    account.NextClaim = now.Steady + ShortGrantPause;
  const std::deque<WaitingCost> waiting = std::move(account.Waiting);
  account.Waiting.clear();
  for (const WaitingCost &it : waiting) {
    if (it.Cost <= account.Balance) {
      account.Balance -= it.Cost;
      out.Admitted.push_back(it.Request);
    } else if (it.Claimed) {
      out.Refused.push_back(it.Request);
    } else {
      account.Waiting.push_back(it);
    }
  }
  return out;
}

void onClaimLost(TokenAccount &account) { account.Seq = 0; }

} // namespace chervil::limits
