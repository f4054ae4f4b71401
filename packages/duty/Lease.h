// The lease of a duty that one node has at a time, held by a key in the platform's store. Use:
//   if (auto call = nextCall(lease, holder, true, now)) start(*call);   // on each tick and result
//   if (isHeld(lease, now)) act(lease.Token);
// Pure. Time points must go on while the VM is suspended, since the store's time does.
#ifndef CHERVIL_DUTY_LEASE_H
#define CHERVIL_DUTY_LEASE_H

#include "base/Time.h"
#include "store/Item.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace chervil::duty {

struct LeaseOptions {
  /// Value of the key while this node holds it; unique to this start of the node.
  std::string Value;
  std::chrono::milliseconds Ttl{3000};
  /// The holder stops to act this long before the lease can end in the store. Covers the way of a
  /// call and a pause between the check and the call.
  Duration Margin = std::chrono::milliseconds(900);
  Duration RenewPeriod = std::chrono::milliseconds(700);
};

struct LeaseCall {
  enum class Kind : std::uint8_t {
    /// Create a lease of Options.Ttl.
    Create,
    /// Write the key with the lease if it does not exist.
    Claim,
    Renew,
    /// End the lease, and with it the key.
    End,
  };
  Kind Type = Kind::Create;
  std::uint64_t LeaseId = 0;
};

struct Lease {
  LeaseOptions Options;
  /// 0 when this node has no lease.
  std::uint64_t LeaseId = 0;
  /// Revision at which this node's key was created, which grows with each holder; 0 if not held.
  std::uint64_t FencingToken = 0;
  /// When the last call that the store confirmed was sent: the lease lasts at least Ttl from then.
  TimePoint ConfirmedAt{};
  TimePoint SentAt{};
  std::optional<LeaseCall> PendingCall;
  TimePoint NextCall{};
  /// Give the lease back and do not stand again.
  bool Resigning = false;
};

/// The next call, if it is due. `holder` is the key as last seen; `mayClaim` is true if this node
/// may try for a free duty now.
std::optional<LeaseCall> nextCall(Lease &lease, const store::Item *holder, bool mayClaim,
                                  const Now &now);

/// Results of the call under way.
void onCreated(Lease &lease, std::uint64_t id, const Now &now);
void onClaimed(Lease &lease, std::uint64_t revision, const Now &now);
/// Another node holds the key.
void onClaimRefused(Lease &lease, const Now &now);
void onRenewed(Lease &lease, const Now &now);
void onEnded(Lease &lease);
/// The store has no such lease.
void onLeaseNotFound(Lease &lease, const Now &now);
/// No answer, or none that tells the outcome.
void onCallFailed(Lease &lease, const Now &now);

/// The key as it is in the store: settles a claim whose answer was lost.
void onHolderRead(Lease &lease, const store::Item *holder, const Now &now);

/// True if this node may act: no other node can hold the duty.
bool isHeld(const Lease &lease, const Now &now);

} // namespace chervil::duty

#endif
