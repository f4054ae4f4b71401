// Settings of back-end choice, with their defaults.
#ifndef CHERVIL_ROUTING_OPTIONS_H
#define CHERVIL_ROUTING_OPTIONS_H

#include "base/Time.h"

#include <cstdint>
#include <string>

namespace chervil::routing {

struct Options {
  /// Identity of this node.
  std::string Node;
  std::string Zone;
  std::string DataCentre;

  /// Sampling weight of a back end in another zone of the data centre, and in another data centre.
  /// Weights stay close to 1: a hop costs about a millisecond, a queue costs hundreds.
  double OtherZoneWeight = 0.9;
  double OtherDataCentreWeight = 0.8;
  /// Largest number of back ends per target that this node uses. With 320 nodes and 7,200 engines
  /// of one model, 192 gives each engine 8.5 nodes on average.
  std::uint32_t SubsetSize = 192;

  /// Tokens covered by one prefix hash.
  std::uint32_t BlockTokens = 64;
  /// Entries (block, back end) in the prefix map; about 60 bytes each.
  std::uint32_t PrefixEntries = 400000;
  /// A prefix stays on its back end while that has at most this multiple of the mean load.
  double PrefixLoadBound = 1.25;

  /// Expected tokens from which work counts as long.
  double LongTokens = 600;
  /// Share of slots that long work leaves free for short work.
  double ReservedShare = 0.125;
  /// Wait before a request that found no slot asks again, unless a request finishes earlier.
  Duration NoSlotRetryDelay = std::chrono::milliseconds(50);

  /// Normal time per token of a lone stream, used until observations exist.
  Duration TokenTime = std::chrono::milliseconds(20);
  /// Growth of the time per token with each stream in the batch.
  double BatchGrowth = 0.02;
  /// Prompt tokens per second of one engine.
  double PrefillRate = 16000;
  /// Expected tokens of work of which nothing is known.
  double DefaultTokens = 200;

  /// Observed time over normal time from which an engine is ejected, and below which it returns.
  double EjectFactor = 2.0;
  double ReturnFactor = 1.4;
  /// Successive failures from which an engine is ejected.
  std::uint32_t EjectFailures = 3;
  Duration MinEjectTime = std::chrono::seconds(2);
  Duration MaxEjectTime = std::chrono::seconds(30);
  /// Largest share of the engines of one target that is ejected at once.
  double MaxEjectedShare = 1.0 / 3;

  /// Extra work by hedging over all work.
  double HedgeBudget = 0.02;
  /// A hedge starts when the other engine is expected to need at most this share of the time.
  double HedgeMaxTimeShare = 0.5;

  /// A load report older than this is ignored.
  Duration ReportMaxAge = std::chrono::seconds(10);
  /// News is spread when the slow factor changed by more than this ratio.
  double NewsRatio = 1.3;
  /// Weight of the price in the choice: 0 ignores it.
  double PriceWeight = 0;
};

} // namespace chervil::routing

#endif
