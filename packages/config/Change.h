// Changes a contract by compare-and-swap on its document, then raises the head. Use:
//   ChangeState state;
//   Result<ChangeEffect> first = startChange(state, {id, author, base, terms}, now);
//   // carry out the effect; for each answer:
//   std::optional<ChangeEffect> next = onChangeAnswer(state, answer, rng);
// until the effect is ChangeAccepted, ChangeConflict or ChangeUnavailable.
//
// Every write of one change swaps the same revision for the same bytes, so at most one of them
// takes effect however answers are lost or delayed.
#ifndef CHERVIL_CONFIG_CHANGE_H
#define CHERVIL_CONFIG_CHANGE_H

#include "base/Random.h"
#include "config/Head.h"
#include "config/KeyValueCalls.h"
#include "contract/VersionedContract.h"

#include <optional>

namespace chervil::config {

/// Failed calls after which a change is given up. With the delays below, about 10 s.
inline constexpr int MaxFailedCalls = 8;
/// Least and greatest wait after a failed call or a conflict on the head.
inline constexpr Duration MinCallDelay = std::chrono::milliseconds(50);
inline constexpr Duration MaxCallDelay = std::chrono::seconds(2);

struct ChangeRequest {
  /// Unique per change. To repeat a change whose outcome is not known, use the same id, base and
  /// terms.
  std::string Id;
  std::string Author;
  /// Version the terms were edited from; 0 for a new contract.
  std::uint64_t BaseVersion = 0;
  Contract Terms;
};

/// The head names the change.
struct ChangeAccepted {
  std::uint64_t Version = 0;
};

/// The change did not and will not take effect, because the contract is no longer at its base.
struct ChangeConflict {
  std::uint64_t BaseVersion = 0;
  Contract Proposed;
  /// Nothing when the contract does not exist.
  std::optional<VersionedContract> Current;
};

/// The change may have taken effect or may do so later. Repeating it is safe.
struct ChangeUnavailable {
  /// True when the document holds the change and only the head may lag; the duty holder repairs it.
  bool Written = false;
  Error Cause;
};

using ChangeEffect =
    std::variant<ReadKey, CompareAndSwap, ChangeAccepted, ChangeConflict, ChangeUnavailable>;

enum class ChangePhase : std::uint8_t {
  ReadDocument,
  WriteDocument,
  ReadHead,
  WriteHead,
  Done,
};

struct ChangeState {
  ChangeRequest Request;
  WallTime Time{};
  ChangePhase Phase = ChangePhase::Done;
  /// Number of the outstanding call; answers to others are ignored.
  std::uint64_t Call = 0;
  int FailedCalls = 0;
  Duration LastDelay{0};
  /// Version the change has in the document, once known.
  std::uint64_t Version = 0;
};

/// Validates the terms (BadContract) and gives the first call.
Result<ChangeEffect> startChange(ChangeState &state, ChangeRequest request, const Now &now);

/// The next effect; nothing for an answer to an earlier call.
std::optional<ChangeEffect> onChangeAnswer(ChangeState &state, const KeyValueAnswer &answer,
                                           Random &rng);

} // namespace chervil::config

#endif
