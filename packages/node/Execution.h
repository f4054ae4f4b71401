// A request that this node runs on a back end.
#ifndef CHERVIL_NODE_EXECUTION_H
#define CHERVIL_NODE_EXECUTION_H

#include "base/Time.h"
#include "message/RecordCopy.h"
#include "routing/Suspicion.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervil::node {

enum class ExecutionPhase : std::uint8_t {
  /// Looks for a back end, at NextTry.
  Choosing,
  Calling,
  /// Waits for an exported KV cache before it moves to another back end.
  Exporting,
  /// Ended; waits until the owner has stored the end.
  Finishing,
  /// Nothing was sent; waits until the attempt is closed.
  Closing,
};

struct Execution {
  /// Key, run, request and the answer so far.
  message::RecordCopy Record;
  ExecutionPhase Phase = ExecutionPhase::Choosing;
  std::vector<std::uint64_t> PrefixHashes;
  std::uint32_t PromptTokens = 0;
  /// Callers on this node.
  std::vector<std::uint64_t> Callers;
  /// Current call to a back end, 0 for none.
  std::uint64_t BackendCall = 0;
  std::string Backend;
  std::string Address;
  /// A request that may have reached a back end has been sent.
  bool Sent = false;
  std::vector<std::string> Avoid;
  std::uint32_t Failures = 0;
  /// Set when a back end died with this content: it runs alone.
  std::optional<routing::Suspicion> Suspect;
  /// Last delay before a retry, 0 before the first.
  Duration Backoff{0};
  /// The current back end is about to stop, so its end says nothing about the request.
  bool BackendLeaving = false;
  /// The next call to a back end is a retry that the budgets must allow.
  bool NeedsBudget = false;
  /// How the last call to a back end failed.
  ResultCode LastFailure = ResultCode::Ok;
  /// Handle of an exported KV cache, used by the next call.
  std::string KvHandle;
  TimePoint NextTry{};
  TimePoint ChooseDeadline{};
  /// The node that holds the record, and the bytes it has been sent.
  NodeId Holder;
  bool Fallback = false;
  message::CopyPlacement Placement = message::CopyPlacement::Owner;
  std::uint64_t Reported = 0;
  TimePoint ReportDue{};
  /// When the execution is registered again after a failed connection; the epoch for never.
  TimePoint RegisterDue{};
  /// Repetition of an unanswered Finish, Close or Submit.
  TimePoint RepeatDue{};
  /// The peer that was asked to take over, while the node leaves.
  NodeId HandoverTo;
  TimePoint HandoverDeadline{};
  std::vector<std::string> HandoverRefused;
};

} // namespace chervil::node

#endif
