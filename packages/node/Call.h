// A caller's connection that waits for an answer.
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

enum class CallMode : std::uint8_t {
  /// Waits for the owner's verdict.
  Submitting,
  /// Waits until the attempt is closed, to be refused with RefuseCode.
  Closing,
  /// Served by an execution on this node.
  Executing,
  /// Served by the owner through Fetch.
  Reading,
};

struct Call {
  std::uint64_t Handle = 0;
  RequestKey Key;
  CallMode Mode = CallMode::Submitting;
  /// The request as accepted from the caller; empty for a fetch.
  message::Submit Request;
  std::vector<std::uint64_t> PrefixHashes;
  std::uint32_t PromptTokens = 0;
  /// True if the call was admitted under the customer's limits and has not been settled.
  bool HoldsSlot = false;
  /// Tokens for which it was admitted.
  std::uint32_t AdmittedTokens = 0;
  /// Begin has been sent.
  bool Begun = false;
  /// Bytes delivered so far.
  std::uint64_t Offset = 0;
  /// Fetch number, 0 while none is open, and the node it was sent to.
  std::uint64_t Reader = 0;
  NodeId Source;
  /// The node that was last asked to accept or close, and whether as a fallback.
  NodeId AskedNode;
  bool AskedFallback = false;
  /// Times the owner did not answer.
  std::uint32_t Unanswered = 0;
  /// The standby has been asked to close, because the owner did not answer.
  bool AskedStandby = false;
  /// A refusal must not claim that the request did not run.
  bool MayHaveRun = false;
  ResultCode RefuseCode = ResultCode::Ok;
  std::chrono::milliseconds RetryAfter{0};
  /// When the current step is given up, and when it is repeated.
  TimePoint Deadline{};
  TimePoint NextTry{};
  message::CopyPlacement Placement = message::CopyPlacement::Owner;
  bool Replayed = false;
};

} // namespace chervil::node

#endif
