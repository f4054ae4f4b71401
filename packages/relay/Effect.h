// What a node has to do after a decision about requests. Carried out in order.
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

/// Handle of a request from its caller, unique in the node.
using RequestId = std::uint64_t;
/// Handle of one call to a backend server, unique in the node.
using CallId = std::uint64_t;

/// Send a request to a backend server; answered by backend events and one end.
struct CallBackend {
  CallId Call = 0;
  RequestId Request = 0;
  /// The caller's id of the attempt, which the answer bears.
  std::string AttemptId;
  std::string Backend;
  std::string Address;
  std::string Workspace;
  /// Time that is left to the caller; absent if it named none.
  std::chrono::milliseconds Remaining{0};
  bool HasDeadline = false;
  /// Rank at the engine, 0 is first.
  int Priority = 5;
  /// The event after which the stream continues; empty for the caller's own value.
  std::string ResumeAfter;
  /// Address of a server from which the memory of shared prompt parts is fetched; may be empty.
  std::string FetchPrefixFrom;
};

/// End a call; no further events come for it.
struct CancelBackend {
  CallId Call = 0;
};

/// Answer with the head that a call received and a whole body.
struct ForwardAnswer {
  RequestId Request = 0;
  CallId Call = 0;
  std::string Body;
};

/// Begin a stream with the head that a call received.
struct BeginStream {
  RequestId Request = 0;
  CallId Call = 0;
};

struct StreamBytes {
  RequestId Request = 0;
  std::string Bytes;
};

struct EndStream {
  RequestId Request = 0;
};

/// Close the caller's connection so that its answer cannot pass for a whole one.
struct AbortStream {
  RequestId Request = 0;
};

/// Answer with a status of the node's own.
struct Refuse {
  RequestId Request = 0;
  ResultCode Code = ResultCode::Internal;
  int Status = 503;
  /// When the request may be served; 0 for no hint.
  std::chrono::milliseconds RetryAfter{0};
};

/// Ask the limit home of a workspace for tokens.
struct ClaimTokens {
  std::string Workspace;
  double Amount = 0;
  std::uint64_t Seq = 0;
};

/// Pass a message on to some random peers.
struct Gossip {
  message::Message Message;
};

/// A request of a workspace began to run on a backend server.
struct RunStarted {
  std::string Workspace;
};

/// Raise a counter. The strings are literals.
struct IncrementCounter {
  const char *Metric = "";
  const char *Reason = "";
};

/// One structured log line.
struct LogRecord {
  const char *Event = "";
  /// The caller's id of the attempt.
  std::string AttemptId;
  std::vector<std::pair<const char *, std::string>> Values;
};

using Effect =
    std::variant<CallBackend, CancelBackend, ForwardAnswer, BeginStream, StreamBytes, EndStream,
                 AbortStream, Refuse, ClaimTokens, Gossip, RunStarted, IncrementCounter, LogRecord>;
using Effects = std::vector<Effect>;

} // namespace chervil::relay

#endif
