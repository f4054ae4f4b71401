// State of a request that this node runs on a back end.
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

/// Phase of an execution.
enum class ExecutionPhase : std::uint8_t {
  /// No back end has been chosen; the next try is at NextTry.
  Choosing,
  /// A call to a back end is running.
  Calling,
  /// Waits for the export of the KV cache before it moves to another back end.
  Exporting,
  /// Ended; waits until the holder has stored the end.
  Finishing,
  /// The request was not sent; waits until the attempt is closed.
  Closing,
};

/// A node that kept the record in place of an unreachable owner, and the run that it knows.
struct FormerHolder {
  NodeId Node;
  std::uint32_t Run = 0;
};

/// State of one execution.
struct Execution {
  /// Key, run, request and the answer so far.
  message::RecordCopy Record;
  ExecutionPhase Phase = ExecutionPhase::Choosing;
  std::vector<std::uint64_t> PrefixHashes;
  std::uint32_t PromptTokens = 0;
  /// Handles of the calls on this node that receive the answer.
  std::vector<std::uint64_t> Callers;
  /// Number of the current call to a back end; 0 if there is none.
  std::uint64_t BackendCall = 0;
  /// Name and address of the back end that was called last.
  std::string Backend;
  std::string Address;
  /// True if the request has been sent and may have reached a back end.
  bool Sent = false;
  /// Names of back ends that failed for this request.
  std::vector<std::string> Avoid;
  /// Number of failed calls.
  std::uint32_t Failures = 0;
  /// Set if a back end died while running this content, which is therefore isolated.
  std::optional<routing::Suspicion> Suspect;
  /// Last delay before a retry; 0 before the first retry.
  Duration Backoff{0};
  /// True if the current back end is about to stop, so that its end is not attributed to the
  /// request.
  bool BackendLeaving = false;
  /// True if the next call to a back end is a retry, which the budgets must allow.
  bool NeedsBudget = false;
  /// How the last call to a back end failed.
  ResultCode LastFailure = ResultCode::Ok;
  /// Handle of an exported KV cache, used by the next call.
  std::string KvHandle;
  /// When the current phase is continued, and when the search for a back end is given up.
  TimePoint NextTry{};
  TimePoint ChooseDeadline{};
  /// The node that keeps the record, and whether it does so as a fallback for the owner.
  NodeId Holder;
  bool Fallback = false;
  /// Run under which the holder knows the execution.
  std::uint32_t RegisteredRun = 0;
  /// Former fallback holders. They keep their copies until the present holder has confirmed that it
  /// has the record: an owner that does not answer may never receive it.
  std::vector<FormerHolder> FormerHolders;
  message::CopyPlacement Placement = message::CopyPlacement::Owner;
  /// Number of bytes of the answer that have been sent to the holder, and when the next are sent.
  std::uint64_t Reported = 0;
  TimePoint ReportDue{};
  /// When the execution is registered again after a failed connection; the epoch if it is not.
  TimePoint RegisterDue{};
  /// When an unanswered Finish, Close or Submit is repeated.
  TimePoint RepeatDue{};
  /// While this node leaves: the peer that was asked to take over, the time until which it may
  /// answer, and the names of the peers that refused or did not answer.
  NodeId HandoverTo;
  TimePoint HandoverDeadline{};
  std::vector<std::string> HandoverRefused;
};

} // namespace chervil::node

#endif
