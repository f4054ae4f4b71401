// What a node asks of back ends, peers, the platform and the process.
#ifndef CHERVIL_NODE_SYSTEMEFFECTS_H
#define CHERVIL_NODE_SYSTEMEFFECTS_H

#include "base/Invariant.h"
#include "message/Message.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace chervil::node {

struct SendPeer {
  std::string Address;
  message::Message Body;
};

/// Send a request to a back end; answered by BackendHead, BackendBytes and one BackendEnd.
struct CallBackend {
  std::uint64_t Call = 0;
  std::string Backend;
  std::string Address;
  message::RequestSpec Spec;
  /// Idempotency key, passed on to services.
  std::string Key;
  /// Identifies the request at the engine.
  std::string RequestId;
  /// Text generated so far, from which the engine continues.
  std::string Continuation;
  std::uint32_t ContinuationTokens = 0;
  /// KV cache to import instead of computing prompt and continuation; may be empty.
  std::string KvHandle;
  std::uint8_t Priority = 1;
  /// Bound on the whole call; zero for none.
  std::chrono::milliseconds Timeout{0};
};

/// Stop a call; no further events come for it.
struct CancelBackend {
  std::uint64_t Call = 0;
};

/// Export the KV cache of a running call; answered by KvExported.
struct ExportKv {
  std::uint64_t Call = 0;
  std::string Address;
  std::string RequestId;
};

/// Compare-and-swap of shards/map under the lease duty/shards.
struct WriteShardMap {
  std::uint64_t IfRevision = 0;
  std::uint64_t Version = 0;
  std::string Body;
};

/// Raise a counter. The strings are literals.
struct IncrementCounter {
  const char *Metric = "";
  const char *Reason = "";
};

struct InvariantViolation {
  Invariant Kind = Invariant::EndsWhole;
  std::string Detail;
};

/// The node has nothing left to do and may stop.
struct Stopped {};

} // namespace chervil::node

#endif
