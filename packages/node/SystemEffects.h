// Effects on back ends, peers, the platform and the process.
#ifndef CHERVIL_NODE_SYSTEMEFFECTS_H
#define CHERVIL_NODE_SYSTEMEFFECTS_H

#include "base/Invariant.h"
#include "message/Message.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace chervil::node {

/// Sends a message to the peer at `Address`.
struct SendPeer {
  std::string Address;
  message::Message Body;
};

/// Sends a request to a back end; answered by BackendHead, BackendBytes and exactly one BackendEnd.
struct CallBackend {
  std::uint64_t Call = 0;
  std::string Backend;
  std::string Address;
  message::RequestSpec Spec;
  /// Idempotency key, which is forwarded to services.
  std::string Key;
  /// Identifies the request at the engine.
  std::string RequestId;
  /// Text generated so far, from which the engine continues.
  std::string Continuation;
  std::uint32_t ContinuationTokens = 0;
  /// Handle of a KV cache to import instead of processing prompt and continuation; may be empty.
  std::string KvHandle;
  /// Priority at the engine.
  std::uint8_t Priority = 1;
  /// Bound on the duration of the call; 0 for no bound.
  std::chrono::milliseconds Timeout{0};
};

/// Cancels a call; no further events follow for it.
struct CancelBackend {
  std::uint64_t Call = 0;
};

/// Exports the KV cache of a running call; answered by KvExported.
struct ExportKv {
  std::uint64_t Call = 0;
  std::string Address;
  std::string RequestId;
};

/// Writes shards/map under the lease duty/shards by compare-and-swap; answered by ShardMapWritten.
struct WriteShardMap {
  /// The write fails if the revision of shards/map differs from this one.
  std::uint64_t IfRevision = 0;
  std::uint64_t Version = 0;
  std::string Body;
};

/// Increments a counter. Both strings are literals.
struct IncrementCounter {
  const char *Metric = "";
  const char *Reason = "";
};

/// Reports that an invariant does not hold.
struct InvariantViolation {
  Invariant Kind = Invariant::EndsWhole;
  std::string Detail;
};

/// The node has nothing left to do and may stop.
struct Stopped {};

} // namespace chervil::node

#endif
