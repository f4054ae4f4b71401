// Options of a node's request handling. The packages on which it is built have their own options.
#ifndef CHERVIL_NODE_OPTIONS_H
#define CHERVIL_NODE_OPTIONS_H

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace chervil::node {

/// Options of a node's request handling.
struct Options {
  /// Number of shards; must be equal on all nodes.
  std::uint32_t ShardCount = 64;
  /// How long a gateway looks for an owner that accepts a request.
  std::chrono::milliseconds SubmitTimeout{3000};
  /// How long a gateway waits for the owner's reply before it asks again.
  std::chrono::milliseconds ReplyTimeout{800};
  /// Delay before a Submit or a Fetch is repeated.
  std::chrono::milliseconds RepeatDelay{100};
  /// A reader that has received nothing for this long fetches again from the present holder,
  /// because the former one may have forgotten it.
  std::chrono::milliseconds RefetchPeriod{3000};
  /// How long a reader looks for a record whose owner is changing.
  std::chrono::milliseconds FetchTimeout{8000};
  /// Maximum time, and maximum number of bytes, after which an executor reports progress.
  std::chrono::milliseconds ProgressPeriod{50};
  std::size_t ProgressBytes = 4096;
  /// How long an accepted request may wait for a back end.
  std::chrono::milliseconds BackendWait{15000};
  /// Bound on a call to a service whose contract states none.
  std::chrono::milliseconds ServiceTimeout{10000};
  /// How long before its end a leaving node starts to hand over the remaining executions.
  std::chrono::milliseconds HandoverMargin{2500};
  /// How long a leaving node waits for the reply to a Handover, and an execution for the export of
  /// a KV cache.
  std::chrono::milliseconds HandoverTimeout{500};
  /// Time that running requests have to finish after SIGTERM.
  std::chrono::milliseconds DrainTime{30000};
  /// Minimum time between two writes of the shard map.
  std::chrono::milliseconds MapWritePeriod{1000};
  /// How long callers may cache the list of entry addresses.
  std::chrono::seconds EntryTtl{10};
};

} // namespace chervil::node

#endif
