// Changes a customer's contract: writes the contract document by compare-and-swap, then raises the
// accepted version in the head document. Use:
//   ChangeState state;
//   Result<ChangeEffect> first = startChange(state, {id, author, base, terms}, now);
//   // perform the effect; for each answer:
//   std::optional<ChangeEffect> next = onChangeAnswer(state, answer, rng);
// until the effect is ChangeAccepted, ChangeConflict or ChangeUnavailable.
//
// All document writes of one change replace the same revision with the same bytes. At most one of
// them therefore takes effect, even if answers are lost or delayed and calls are repeated.
#ifndef CHERVIL_CONFIG_CHANGE_H
#define CHERVIL_CONFIG_CHANGE_H

#include "base/Random.h"
#include "config/Head.h"
#include "config/KeyValueCalls.h"
#include "contract/VersionedContract.h"

#include <optional>

namespace chervil::config {

/// A change is abandoned after more failed calls than this. With the delays below, that takes about
/// 10 s.
inline constexpr int MaxFailedCalls = 8;
/// Bounds of the random delay before a retry after a failed call or a write conflict.
inline constexpr Duration MinCallDelay = std::chrono::milliseconds(50);
inline constexpr Duration MaxCallDelay = std::chrono::seconds(2);

/// A change of one contract, as an operator requests it.
struct ChangeRequest {
  /// Unique per change, 1 to 128 bytes. To repeat a change whose outcome is unknown, use the same
  /// id, base version and terms.
  std::string Id;
  /// At most 128 bytes.
  std::string Author;
  /// Version of the contract that the terms are based on; 0 for a new contract.
  std::uint64_t BaseVersion = 0;
  Contract Terms;
};

/// The change took effect: the head names its version or a later one.
struct ChangeAccepted {
  std::uint64_t Version = 0;
};

/// The change did not and will not take effect, because the contract is not at the base version.
struct ChangeConflict {
  std::uint64_t BaseVersion = 0;
  Contract Proposed;
  /// The stored contract; unset if it does not exist.
  std::optional<VersionedContract> Current;
};

/// The change may have taken effect or may do so later. Repeating it is safe.
struct ChangeUnavailable {
  /// True if the document holds the change and only the head may lag behind. The holder of
  /// duty/shards then raises the head (HeadRepair.h).
  bool Written = false;
  Error Cause;
};

/// The next call to the key-value service, or the result of the change.
using ChangeEffect =
    std::variant<ReadKey, CompareAndSwap, ChangeAccepted, ChangeConflict, ChangeUnavailable>;

/// The call whose answer the change waits for.
enum class ChangePhase : std::uint8_t {
  ReadDocument,
  WriteDocument,
  ReadHead,
  WriteHead,
  Done,
};

/// Progress of one change. Set up by startChange().
struct ChangeState {
  ChangeRequest Request;
  /// When the change was started; stored in the contract.
  WallTime Time{};
  ChangePhase Phase = ChangePhase::Done;
  /// Number of the outstanding call. Answers to other calls are ignored.
  std::uint64_t Call = 0;
  int FailedCalls = 0;
  Duration LastDelay{0};
  /// Version of the contract that the change made; 0 until known.
  std::uint64_t Version = 0;
};

/// Validates the request and returns the first call. Fails with BadContract if the terms, the id or
/// the author is not valid.
Result<ChangeEffect> startChange(ChangeState &state, ChangeRequest request, const Now &now);

/// Returns the effect that follows from an answer, or nullopt for an answer to an earlier call.
std::optional<ChangeEffect> onChangeAnswer(ChangeState &state, const KeyValueAnswer &answer,
                                           Random &rng);

} // namespace chervil::config

#endif
