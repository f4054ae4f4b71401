// Effects: actions that the node has to carry out after an event, in order.
#ifndef CHERVIL_RELAY_EFFECT_H
#define CHERVIL_RELAY_EFFECT_H

#include "base/ResultCode.h"
#include "message/Message.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace chervil::relay {

/// Identifies a request within the node.
using RequestId = std::uint64_t;
/// Identifies one call to a backend server within the node.
using CallId = std::uint64_t;

/// Send a request to a backend server. It is followed by the events of the call, of which
/// onBackendEnd() is the last.
struct CallBackend {
  CallId Call = 0;
  RequestId Request = 0;
  /// The caller's id of the attempt, which a genuine answer repeats.
  std::string AttemptId;
  std::string Backend;
  std::string Address;
  std::string Workspace;
  /// Time until the deadline. Valid only if HasDeadline is set.
  std::chrono::milliseconds Remaining{0};
  bool HasDeadline = false;
  /// Scheduling priority at the engine; 0 is the highest.
  int Priority = 5;
  /// Id of the event after which the stream continues; empty to send the value of the caller, if
  /// any.
  std::string ResumeAfter;
  /// Bound on the bytes of the answer; more end the call with BackendEnd::Excessive.
  std::uint64_t MaxAnswerBytes = 0;
  /// Address of a server from which the KV cache of the shared prompt prefix is fetched; empty for
  /// none.
  std::string FetchPrefixFrom;
};

/// Cancel a call; no further events follow for it.
struct CancelBackend {
  CallId Call = 0;
};

/// Send the complete answer: the head that the call received and this body.
struct ForwardAnswer {
  RequestId Request = 0;
  CallId Call = 0;
  std::string Body;
};

/// Begin a streamed answer with the head that the call received.
struct BeginStream {
  RequestId Request = 0;
  CallId Call = 0;
};

/// Send the next bytes of a streamed answer.
struct StreamBytes {
  RequestId Request = 0;
  std::string Bytes;
};

/// End a streamed answer that is complete.
struct EndStream {
  RequestId Request = 0;
};

/// Close the connection of the caller, so that it cannot mistake the answer for a complete one.
struct AbortStream {
  RequestId Request = 0;
};

/// Send an error response of the node itself.
struct Refuse {
  RequestId Request = 0;
  ResultCode Code = ResultCode::Internal;
  int Status = 503;
  /// Value for the Retry-After header; 0 for none.
  std::chrono::milliseconds RetryAfter{0};
};

/// Claim tokens from the home node of the rate limit of a workspace.
struct ClaimTokens {
  std::string Workspace;
  /// Tokens or requests, as the limit counts them.
  double Amount = 0;
  /// Number of the claim; repeated in the grant.
  std::uint64_t Seq = 0;
};

/// Ask the limit home of a server for permission to send one request to it. Answered by
/// onSendGrant() or onSendClaimLost().
struct ClaimSend {
  message::SendClaim Claim;
};

/// Send a message to some random peers.
struct Gossip {
  message::Message Message;
};

/// A request of a workspace started to run on a backend server; counted as usage.
struct RunStarted {
  std::string Workspace;
};

/// Increment a counter by one. The strings are literals.
struct IncrementCounter {
  const char *Metric = "";
  const char *Reason = "";
};

/// Write one structured log line.
struct LogRecord {
  const char *Event = "";
  /// The caller's id of the attempt; empty if the record is not about a request.
  std::string AttemptId;
  std::vector<std::pair<const char *, std::string>> Values;
};

using Effect = std::variant<CallBackend, CancelBackend, ForwardAnswer, BeginStream, StreamBytes,
                            EndStream, AbortStream, Refuse, ClaimTokens, ClaimSend, Gossip,
                            RunStarted, IncrementCounter, LogRecord>;
using Effects = std::vector<Effect>;

} // namespace chervil::relay

#endif
