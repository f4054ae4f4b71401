// Leader election for a duty, a task that one node performs at a time: the holder keeps a key with
// a lease in the platform's store. Usage:
//   const bool may = mayClaim(lease, lastHolder, now);
//   if (auto call = nextCall(lease, holder, may, now)) start(*call);   // on each tick and result
//   if (const auto timeout = actionTimeout(lease, now)) {
//     onActionStarted(lease);
//     act(lease.FencingToken, *timeout);   // ends with onActionEnded()
//   }
// Pure: performs no I/O. Time points must advance while the VM is suspended, since the time of the
// store does.
#ifndef CHERVIL_DUTY_LEASE_H
#define CHERVIL_DUTY_LEASE_H

#include "base/Time.h"
#include "duty/Holder.h"
#include "store/Item.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace chervil::duty {

/// Settings of a lease.
struct LeaseOptions {
  /// Name of this node, the same for each start.
  std::string Node;
  /// Value of the key while this node holds it; unique for each start of the node.
  std::string Value;
  /// Lifetime of the lease in the store after its creation or last renewal.
  std::chrono::milliseconds Ttl{3000};
  /// The holder starts no action later than this before the lease can expire in the store. Longer
  /// than ActionOverrun, and covers a pause between the check and the action.
  Duration Margin = std::chrono::milliseconds(900);
  /// Interval between renewals while the duty is held.
  Duration RenewPeriod = std::chrono::milliseconds(700);
};

/// A call to the store.
struct LeaseCall {
  enum class Kind : std::uint8_t {
    /// Create a lease with lifetime Options.Ttl.
    Create,
    /// Write the key, attached to the lease, and the last holder. Requires that the key does not
    /// exist and that the last holder has not changed since it was read.
    Claim,
    /// Renew the lease.
    Renew,
    /// Revoke the lease, which also removes the key.
    End,
  };
  Kind Type = Kind::Create;
  /// 0 for Create.
  std::uint64_t LeaseId = 0;
};

/// State of the lease of one duty on this node.
struct Lease {
  LeaseOptions Options;
  /// 0 if this node has no lease.
  std::uint64_t LeaseId = 0;
  /// Revision at which the store created the key of this node; 0 if the duty is not held.
  std::uint64_t KeyRevision = 0;
  /// See fencingToken(); 0 if the duty is not held.
  std::uint64_t FencingToken = 0;
  /// Era of the store, and when this node learned of it; see store::Position.
  std::uint64_t Era = 0;
  TimePoint EraSince{};
  /// Era in which the last claim was sent.
  std::uint64_t ClaimEra = 0;
  /// The node does not act before this time although it has the key.
  TimePoint ActFrom{};
  /// The store has come back from an older copy since the key was last read or written. The lease
  /// may be gone, and its number may have been given to another node.
  bool IsUnverified = false;
  /// Send time of the last creation or renewal that the store confirmed. The lease lasts at least
  /// until Ttl after it.
  TimePoint ConfirmedAt{};
  /// Send time of PendingCall.
  TimePoint SentAt{};
  std::optional<LeaseCall> PendingCall;
  /// No call other than End starts before this time.
  TimePoint NextCall{};
  /// The lease is to be revoked once no action is under way, and not claimed again.
  bool Resigning = false;
  /// Actions of this node as the holder that have not ended.
  unsigned OpenActions = 0;
  /// No action of this node under an earlier token takes effect after this time. Initially the
  /// start of the process, since an earlier process of the node may have acted until then.
  TimePoint QuietSince{};
};

/// Returns the fencing token of the holder whose key was created at this position. It increases
/// with each holder, also when the store gives revisions out again.
std::uint64_t fencingToken(const store::Position &created);

/// True if this node may claim a duty without a holder, as far as its own earlier actions go. If
/// another node has held the duty since, this one may not act again within Ttl of its last action:
/// the platform rejects holders that alternate so fast. After the store has come back from an older
/// copy, a holder of the earlier era may act for as long as its lease lasted, and the copy may lack
/// its key: no node claims the duty for Ttl, unless one has claimed it in this era. `last` is
/// absent if no node has ever held the duty.
bool mayClaim(const Lease &lease, const std::optional<LastHolder> &last, const Now &now);

/// Returns the next call if one is due; it is pending until one of the functions below is called.
/// `holder` is the key as last read, nullptr if it does not exist. `isCandidate` is true if this
/// node may claim a duty without a holder now.
std::optional<LeaseCall> nextCall(Lease &lease, const store::Item *holder, bool isCandidate,
                                  const Now &now);

/// Results of the pending call.
void onCreated(Lease &lease, std::uint64_t id, const Now &now);
void onClaimed(Lease &lease, std::uint64_t revision, const Now &now);
/// The claim was rejected because another node holds the key.
void onClaimRefused(Lease &lease, const Now &now);
void onRenewed(Lease &lease, const Now &now);
void onEnded(Lease &lease);
/// The store does not know the lease, which has expired.
void onLeaseNotFound(Lease &lease, const Now &now);
/// There was no answer, or one that leaves the outcome unknown.
void onCallFailed(Lease &lease, const Now &now);

/// The store has come back from an older copy: the duty is not held until the key has been read
/// again. Does nothing unless `era` is later than the current one.
void onStoreRestored(Lease &lease, std::uint64_t era, const Now &now);

/// Applies the key as read from the store in the current era, nullptr if it does not exist.
/// Determines the outcome of a claim whose answer was lost, and whether the lease still exists
/// after the store has come back from an older copy.
void onHolderRead(Lease &lease, const store::Item *holder, const Now &now);

/// True if this node may act as the holder, because no other node can hold the duty now.
bool isHeld(const Lease &lease, const Now &now);

/// Time by which an action may outlive its bound: the timer that ends it is late, and what was sent
/// before may still be on its way.
inline constexpr Duration ActionOverrun = std::chrono::milliseconds(500);

/// Returns the bound on an action that begins now: with ActionOverrun it ends before the lease can
/// expire in the store. Empty unless the duty is held.
std::optional<std::chrono::milliseconds> actionTimeout(const Lease &lease, const Now &now);

/// An action as the holder, such as a call to the platform, begins or has ended. One without an
/// answer may still take effect until ActionOverrun has passed. The lease is not revoked while an
/// action may take effect, because that could be after those of the next holder.
void onActionStarted(Lease &lease);
void onActionEnded(Lease &lease, bool isAnswered, const Now &now);

} // namespace chervil::duty

#endif
