// Options of a node's request handling; those of the packages below are in their own structs.
#ifndef CHERVIL_NODE_OPTIONS_H
#define CHERVIL_NODE_OPTIONS_H

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace chervil::node {

struct Options {
  /// Number of shards; equal on all nodes.
  std::uint32_t ShardCount = 64;
  /// How long a gateway looks for an owner that accepts before it gives up.
  std::chrono::milliseconds SubmitTimeout{3000};
  /// How long it waits for the owner's reply before it asks again.
  std::chrono::milliseconds ReplyTimeout{800};
  /// Pause before a submit or a fetch is repeated.
  std::chrono::milliseconds RepeatDelay{100};
  /// How long a reader looks for a record whose owner is changing.
  std::chrono::milliseconds FetchTimeout{8000};
  std::chrono::milliseconds ProgressPeriod{50};
  std::size_t ProgressBytes = 4096;
  /// How long an accepted request may wait for a back end.
  std::chrono::milliseconds BackendWait{15000};
  std::chrono::milliseconds ServiceTimeout{10000};
  /// A leaving node hands over what is left this long before it stops.
  std::chrono::milliseconds HandoverMargin{2500};
  std::chrono::milliseconds HandoverTimeout{500};
  /// Time for running requests after SIGTERM.
  std::chrono::milliseconds DrainTime{30000};
  /// Minimum time between two writes of the shard map.
  std::chrono::milliseconds MapWritePeriod{1000};
  /// How long callers may keep the list of entry addresses.
  std::chrono::seconds EntryTtl{10};
};

} // namespace chervil::node

#endif
