#include "duty/Lease.h"

#include <algorithm>

namespace chervil::duty {
namespace {

using namespace std::chrono_literals;

// Number of the first era of a store.
constexpr std::uint64_t FirstEra = 1;
// Delay after a failed or rejected call.
constexpr Duration RetryDelay = 300ms;
// Delay after a claim without an answer. The claim may still take effect, so the node waits until
// it has read the key.
constexpr Duration UnknownClaimDelay = 1500ms;

void clearLease(Lease &lease) {
  lease.LeaseId = 0;
  lease.KeyRevision = 0;
  lease.FencingToken = 0;
  lease.IsUnverified = false;
  lease.ActFrom = {};
}

void setHeld(Lease &lease, std::uint64_t keyRevision) {
  lease.KeyRevision = keyRevision;
  lease.FencingToken = fencingToken({lease.Era, keyRevision});
}

std::optional<LeaseCall> beginCall(Lease &lease, LeaseCall::Kind what, const Now &now) {
  lease.PendingCall = LeaseCall{what, lease.LeaseId};
  lease.SentAt = now.Steady;
  if (what == LeaseCall::Kind::Claim)
    lease.ClaimEra = lease.Era;
  return lease.PendingCall;
}

/// True if no action of this node can take effect any more.
bool isQuiet(const Lease &lease, const Now &now) {
  return lease.OpenActions == 0 && now.Steady >= lease.QuietSince;
}

} // namespace

std::uint64_t fencingToken(const store::Position &created) {
  // A revision has less than 40 bits and an era at most 12, so that the token is exact in a double.
  constexpr unsigned revisionBits = 40;
  return (created.Era << revisionBits) + created.Revision;
}

bool mayClaim(const Lease &lease, const std::optional<LastHolder> &last, const Now &now) {
  if (!isQuiet(lease, now))
    return false;
  const bool isClaimedInEra = last ? last->Era == lease.Era : lease.Era <= FirstEra;
  if (!isClaimedInEra && now.Steady < lease.EraSince + lease.Options.Ttl)
    return false;
  const bool isAlternation = last && last->Node != lease.Options.Node;
  return !isAlternation || now.Steady >= lease.QuietSince + lease.Options.Ttl;
}

std::optional<LeaseCall> nextCall(Lease &lease, const store::Item *holder, bool isCandidate,
                                  const Now &now) {
  if (lease.PendingCall)
    return std::nullopt;
  // A lease that was not confirmed for its whole lifetime has expired.
  if (lease.LeaseId != 0 && now.Steady - lease.ConfirmedAt >= lease.Options.Ttl)
    clearLease(lease);
  // The lease of another node must be neither renewed nor revoked.
  if (lease.IsUnverified && lease.Resigning)
    clearLease(lease);
  if (lease.IsUnverified)
    return std::nullopt;
  if (lease.Resigning) {
    if (lease.LeaseId == 0 || !isQuiet(lease, now))
      return std::nullopt;
    return beginCall(lease, LeaseCall::Kind::End, now);
  }
  if (now.Steady < lease.NextCall)
    return std::nullopt;
  if (lease.FencingToken != 0)
    return beginCall(lease, LeaseCall::Kind::Renew, now);
  if (holder != nullptr || !isCandidate)
    return std::nullopt;
  return beginCall(lease, lease.LeaseId == 0 ? LeaseCall::Kind::Create : LeaseCall::Kind::Claim,
                   now);
}

void onCreated(Lease &lease, std::uint64_t id, const Now &now) {
  lease.PendingCall.reset();
  lease.LeaseId = id;
  lease.ConfirmedAt = lease.SentAt;
  lease.NextCall = now.Steady;
}

void onClaimed(Lease &lease, std::uint64_t revision, const Now &now) {
  lease.PendingCall.reset();
  setHeld(lease, revision);
  lease.NextCall = now.Steady + lease.Options.RenewPeriod;
}

void onClaimRefused(Lease &lease, const Now &now) {
  lease.PendingCall.reset();
  lease.NextCall = now.Steady + RetryDelay;
}

void onRenewed(Lease &lease, const Now &now) {
  lease.PendingCall.reset();
  lease.ConfirmedAt = lease.SentAt;
  lease.NextCall = now.Steady + lease.Options.RenewPeriod;
}

void onEnded(Lease &lease) {
  lease.PendingCall.reset();
  clearLease(lease);
}

void onLeaseNotFound(Lease &lease, const Now &now) {
  lease.PendingCall.reset();
  clearLease(lease);
  lease.NextCall = now.Steady + RetryDelay;
}

void onCallFailed(Lease &lease, const Now &now) {
  const bool wasClaim = lease.PendingCall && lease.PendingCall->Type == LeaseCall::Kind::Claim;
  lease.PendingCall.reset();
  lease.NextCall = now.Steady + (wasClaim ? UnknownClaimDelay : RetryDelay);
}

void onStoreRestored(Lease &lease, std::uint64_t era, const Now &now) {
  if (era <= lease.Era)
    return;
  lease.IsUnverified = lease.LeaseId != 0;
  lease.Era = era;
  lease.EraSince = now.Steady;
}

void onHolderRead(Lease &lease, const store::Item *holder, const Now &now) {
  if (lease.LeaseId == 0)
    return;
  const bool isOwn =
      holder != nullptr && holder->Lease == lease.LeaseId && holder->Value == lease.Options.Value;
  if (lease.IsUnverified && !isOwn) {
    clearLease(lease);
    return;
  }
  lease.IsUnverified = false;
  if (isOwn && lease.FencingToken == 0 && !lease.PendingCall) {
    setHeld(lease, holder->Created);
    lease.NextCall = now.Steady;
    // The store executed the claim after its return: what mayClaim() waits for is still to come.
    if (lease.ClaimEra != lease.Era)
      lease.ActFrom = lease.EraSince + lease.Options.Ttl;
  }
  if (!isOwn && holder != nullptr && lease.FencingToken != 0 && holder->Created > lease.KeyRevision)
    clearLease(lease);
}

bool isHeld(const Lease &lease, const Now &now) {
  return lease.FencingToken != 0 && !lease.IsUnverified && !lease.Resigning &&
         now.Steady >= lease.ActFrom &&
         now.Steady - lease.ConfirmedAt < lease.Options.Ttl - lease.Options.Margin;
}

std::optional<std::chrono::milliseconds> actionTimeout(const Lease &lease, const Now &now) {
  if (!isHeld(lease, now))
    return std::nullopt;
  const Duration left = lease.ConfirmedAt + lease.Options.Ttl - ActionOverrun - now.Steady;
  return std::chrono::duration_cast<std::chrono::milliseconds>(left);
}

void onActionStarted(Lease &lease) { ++lease.OpenActions; }

void onActionEnded(Lease &lease, bool isAnswered, const Now &now) {
  if (lease.OpenActions > 0)
    --lease.OpenActions;
  const TimePoint end = isAnswered ? now.Steady : now.Steady + ActionOverrun;
  lease.QuietSince = std::max(lease.QuietSince, end);
}

} // namespace chervil::duty
