// Timing and size parameters of the membership protocol. Use:
//   membership::Options options;
//   options.SuspicionTime = std::chrono::seconds(3);
#ifndef CHERVIL_MEMBERSHIP_OPTIONS_H
#define CHERVIL_MEMBERSHIP_OPTIONS_H

#include "base/Time.h"

#include <cstddef>
#include <cstdint>

namespace chervil::membership {

struct Options {
  /// One member is probed per period; a probe without an ack by its end starts a suspicion.
  Duration ProbePeriod = std::chrono::seconds(1);
  /// Wait for a direct ack before indirect probes are sent; covers a round trip between regions.
  Duration ProbeTimeout = std::chrono::milliseconds(400);
  std::size_t IndirectProbes = 2;
  /// Time a suspected member has to refute before it is declared dead.
  Duration SuspicionTime = std::chrono::seconds(5);
  /// Period and fan-out of the immediate dissemination of `leaving`.
  Duration PushPeriod = std::chrono::milliseconds(200);
  std::size_t PushFanOut = 3;
  /// Rounds in which one node pushes one update. 5 rounds of 3 leave a node out with probability
  /// e^-15 without loss and e^-10 at 30% loss.
  std::size_t PushRounds = 5;
  /// Upper bound of messages per push round; a reclaimed data centre needs several per target.
  std::size_t PushMessages = 12;
  /// Bounds the message size: 10 updates take less than 1.5 KB.
  std::size_t UpdatesPerMessage = 10;
  /// Updates per message that repeat old state, so that a missed update is repaired later.
  std::size_t RepairUpdates = 2;
  /// Time in which a starting node probes several members per push period, and in which others
  /// answer it with a part of the member list. When 320 nodes start together, 5 s left 69 of them
  /// with incomplete lists, 8 s left 4 and 10 s left 2; the repair updates reach those later.
  Duration JoinTime = std::chrono::seconds(10);
  /// Minimum time between two exchanges that a node starts, before and after its list has settled.
  /// When 320 nodes start together, the first exchange waits until peers other than the seeds are
  /// known.
  Duration JoinExchangePeriod = std::chrono::milliseconds(500);
  Duration ExchangePeriod = std::chrono::seconds(5);
  /// A settled list that changed less than this ago is left to the news in progress.
  Duration ExchangeDelay = std::chrono::seconds(5);
  /// Bounds the size of an exchange message to about 10 KB.
  std::size_t ExchangeUpdates = 100;
  /// A list is settled when this many peers (or all, if there are fewer) hold the same, but not
  /// before SettleTime: nodes that start together agree before they know the rest of the fleet.
  std::size_t SettlePeers = 3;
  Duration SettleTime = std::chrono::seconds(2);
  /// A region from which nothing was heard for RegionTimeout is unreachable. Not longer than
  /// SuspicionTime, so that it is known before its members are declared dead. A region that is
  /// silent for RegionProbeDelay is probed next.
  Duration RegionTimeout = std::chrono::seconds(5);
  Duration RegionProbeDelay = std::chrono::seconds(2);
  /// Updates about members first seen less than this ago carry addresses.
  Duration FullUpdateTime = std::chrono::seconds(60);
  /// Period of probes to dead members and unreached seeds; reconnects regions after a partition.
  Duration ReconnectPeriod = std::chrono::seconds(2);
  /// Longer than a partition between regions, which can last an hour.
  Duration DeadRetention = std::chrono::hours(2);
  /// A gap between ticks that is longer than this means that this process was paused.
  Duration PauseThreshold = std::chrono::seconds(1);
  /// Deadline assumed for a leaving VM when the VM list names none.
  std::chrono::milliseconds DefaultLeaveTime = std::chrono::seconds(5);
  /// Load in percent at which a node leaves the entry list, and below which it returns to it.
  std::uint8_t OverloadThreshold = 90;
  std::uint8_t OverloadClearThreshold = 80;
  /// Minimum time between two disseminated overload changes of one node.
  Duration LoadChangePeriod = std::chrono::seconds(5);
};

} // namespace chervil::membership

#endif
