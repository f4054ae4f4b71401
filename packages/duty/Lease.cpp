#include "duty/Lease.h"

namespace chervil::duty {
namespace {

using namespace std::chrono_literals;

constexpr Duration RetryPause = 300ms;
// A claim without an answer may still take effect; until then the node waits to see the key.
constexpr Duration UnknownClaimPause = 1500ms;

void forget(Lease &lease) {
  lease.LeaseId = 0;
  lease.Token = 0;
}

std::optional<LeaseCall> start(Lease &lease, LeaseCall::Kind what, const Now &now) {
  lease.Calling = LeaseCall{what, lease.LeaseId};
  lease.SentAt = now.Steady;
  return lease.Calling;
}

} // namespace

std::optional<LeaseCall> nextCall(Lease &lease, const store::Item *holder, bool mayStand,
                                  const Now &now) {
  if (lease.Calling)
    return std::nullopt;
  // A lease that was not confirmed for its whole lifetime has ended.
  if (lease.LeaseId != 0 && now.Steady - lease.ConfirmedAt >= lease.Options.Ttl)
    forget(lease);
  if (lease.Resigning) {
    if (lease.LeaseId == 0)
      return std::nullopt;
    return start(lease, LeaseCall::Kind::End, now);
  }
  if (now.Steady < lease.NextCall)
    return std::nullopt;
  if (lease.Token != 0)
    return start(lease, LeaseCall::Kind::Renew, now);
  if (holder != nullptr || !mayStand)
    return std::nullopt;
  return start(lease, lease.LeaseId == 0 ? LeaseCall::Kind::Create : LeaseCall::Kind::Claim, now);
}

void onCreated(Lease &lease, std::uint64_t id, const Now &now) {
  lease.Calling.reset();
  lease.LeaseId = id;
  lease.ConfirmedAt = lease.SentAt;
  lease.NextCall = now.Steady;
}

void onClaimed(Lease &lease, std::uint64_t revision, const Now &now) {
  lease.Calling.reset();
  lease.Token = revision;
  lease.NextCall = now.Steady + lease.Options.RenewPeriod;
}

void onClaimRefused(Lease &lease, const Now &now) {
  lease.Calling.reset();
  lease.NextCall = now.Steady + RetryPause;
}

void onRenewed(Lease &lease, const Now &now) {
  lease.Calling.reset();
  lease.ConfirmedAt = lease.SentAt;
  lease.NextCall = now.Steady + lease.Options.RenewPeriod;
}

void onEnded(Lease &lease) {
  lease.Calling.reset();
  forget(lease);
}

void onLeaseGone(Lease &lease, const Now &now) {
  lease.Calling.reset();
  forget(lease);
  lease.NextCall = now.Steady + RetryPause;
}

void onFailed(Lease &lease, const Now &now) {
  const bool wasClaim = lease.Calling && lease.Calling->What == LeaseCall::Kind::Claim;
  lease.Calling.reset();
  lease.NextCall = now.Steady + (wasClaim ? UnknownClaimPause : RetryPause);
}

void onHolderSeen(Lease &lease, const store::Item *holder, const Now &now) {
  if (lease.LeaseId == 0)
    return;
  const bool isOwn =
      holder != nullptr && holder->Lease == lease.LeaseId && holder->Value == lease.Options.Value;
  if (isOwn && lease.Token == 0 && !lease.Calling) {
    lease.Token = holder->Created;
    lease.NextCall = now.Steady;
  }
  if (!isOwn && holder != nullptr && lease.Token != 0 && holder->Created > lease.Token)
    forget(lease);
}

bool isHeld(const Lease &lease, const Now &now) {
  return lease.Token != 0 && !lease.Resigning &&
         now.Steady - lease.ConfirmedAt < lease.Options.Ttl - lease.Options.Margin;
}

} // namespace chervil::duty
