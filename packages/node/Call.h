// State of a caller's connection that waits for an answer.
#ifndef CHERVIL_NODE_CALL_H
#define CHERVIL_NODE_CALL_H

#include "base/RequestKey.h"
#include "base/ResultCode.h"
#include "base/Time.h"
#include "message/Submit.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::node {

/// What a call is waiting for.
enum class CallMode : std::uint8_t {
  /// Waits for the owner's decision (SubmitReply).
  Submitting,
  /// Waits until the attempt is closed; the call is then refused with RefuseCode.
  Closing,
  /// Served by an execution on this node.
  Executing,
  /// Served by the owner through Fetch.
  Reading,
};

/// State of one call.
struct Call {
  /// Identifies the caller's connection in events and effects.
  std::uint64_t Handle = 0;
  RequestKey Key;
  CallMode Mode = CallMode::Submitting;
  /// The request as accepted from the caller; empty for a fetch.
  message::Submit Request;
  /// Chained hashes of the prompt's blocks, and its length; for prefix routing.
  std::vector<std::uint64_t> PrefixHashes;
  std::uint32_t PromptTokens = 0;
  /// True if the call was admitted under the customer's limits and has not been settled yet.
  bool HoldsSlot = false;
  /// Number of tokens for which the call was admitted.
  std::uint32_t AdmittedTokens = 0;
  /// True if Begin has been sent.
  bool Begun = false;
  /// Number of bytes delivered so far.
  std::uint64_t Offset = 0;
  /// Reader number of the open Fetch (0 if none is open), and the node to which it was sent.
  std::uint64_t Reader = 0;
  NodeId Source;
  /// The node that was last asked to accept the request or to close the attempt, and whether it was
  /// asked as a fallback.
  NodeId AskedNode;
  bool AskedFallback = false;
  /// Number of times that the owner did not answer.
  std::uint32_t Unanswered = 0;
  /// True if the standby was asked to close the attempt because the owner did not answer.
  bool AskedStandby = false;
  /// True if a refusal must not state that the request did not run.
  bool MayHaveRun = false;
  ResultCode RefuseCode = ResultCode::Ok;
  std::chrono::milliseconds RetryAfter{0};
  /// While reading: when the call last received a part of the answer or fetched.
  TimePoint LastFetch{};
  /// When the current step is abandoned, and when it is repeated.
  TimePoint Deadline{};
  TimePoint NextTry{};
  message::CopyPlacement Placement = message::CopyPlacement::Owner;
  /// True if the answer belongs to a request that was already known under this key.
  bool Replayed = false;
};

} // namespace chervil::node

#endif
