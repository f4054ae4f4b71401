// Timing and size parameters of the membership protocol. Use:
//   membership::Options options;
//   options.SuspicionTime = std::chrono::seconds(3);
#ifndef CHERVIL_MEMBERSHIP_OPTIONS_H
#define CHERVIL_MEMBERSHIP_OPTIONS_H

#include "base/Time.h"

#include <cstddef>
#include <cstdint>

namespace chervil::membership {

/// Timing, fan-out and size limits of the protocol.
struct Options {
  /// One member is probed per period. If it has not acknowledged the probe by the end of the
  /// period, it is suspected.
  Duration ProbePeriod = std::chrono::seconds(1);
  /// Time to wait for a direct acknowledgement before indirect probes are sent. Longer than a round
  /// trip between regions.
  Duration ProbeTimeout = std::chrono::milliseconds(400);
  /// Number of members asked to probe a member that did not answer.
  std::size_t IndirectProbes = 2;
  /// Time within which a suspected member must refute the suspicion. After it, the member is
  /// declared dead.
  Duration SuspicionTime = std::chrono::seconds(5);
  /// Period and fan-out of the rounds that push Leaving states, in addition to the gossip on
  /// probes, and of the rounds of probes that a starting node sends.
  Duration PushPeriod = std::chrono::milliseconds(200);
  std::size_t PushFanOut = 3;
  /// Rounds in which each node pushes one update. 5 rounds with a fan-out of 3 miss a node with
  /// probability e^-15 without loss and e^-10 at 30% loss.
  std::size_t PushRounds = 5;
  /// Upper bound on the messages per push round. When a data centre is reclaimed, each target needs
  /// several.
  std::size_t PushMessages = 12;
  /// Upper bound on the updates in a message, to bound its size: 10 updates take less than 1.5 KB.
  std::size_t UpdatesPerMessage = 10;
  /// Number of updates per message that repeat the state of members in turn, so that a node that
  /// missed an update receives it later.
  std::size_t RepairUpdates = 2;
  /// Time after its start in which a node probes several members per PushPeriod, and in which
  /// others answer it with a part of the member list. When 320 nodes start together, 5 s left 69 of
  /// them with incomplete lists, 8 s left 4 and 10 s left 2. The repair updates reach those later.
  Duration JoinTime = std::chrono::seconds(10);
  /// Minimum time between two exchanges that a node starts: JoinExchangePeriod until its list has
  /// settled, ExchangePeriod afterwards. The first exchange is held back for twice
  /// JoinExchangePeriod, so that when 320 nodes start together they know peers other than the seeds
  /// by then.
  Duration JoinExchangePeriod = std::chrono::milliseconds(500);
  Duration ExchangePeriod = std::chrono::seconds(5);
  /// A node with a settled list starts no exchange within this time after a change of the list,
  /// because gossip is likely to make the lists equal.
  Duration ExchangeDelay = std::chrono::seconds(5);
  /// Upper bound on the updates in an exchange, which keeps the message below about 10 KB.
  std::size_t ExchangeUpdates = 100;
  /// A list is settled once this many peers (or all, if there are fewer) hold the same list, but
  /// not before SettleTime after the start: nodes that start together hold equal lists before they
  /// know the rest of the fleet.
  std::size_t SettlePeers = 3;
  Duration SettleTime = std::chrono::seconds(2);
  /// A region from which nothing was received for RegionTimeout counts as unreachable. It must not
  /// be longer than SuspicionTime, so that this is known before members of the region are declared
  /// dead. A region from which nothing was received for RegionProbeDelay is probed next.
  Duration RegionTimeout = std::chrono::seconds(5);
  Duration RegionProbeDelay = std::chrono::seconds(2);
  /// Updates about a member carry its addresses for this long after the member was first seen.
  Duration FullUpdateTime = std::chrono::seconds(60);
  /// Period of probes to dead members and unreached seeds, which reconnect regions after a network
  /// partition.
  Duration ReconnectPeriod = std::chrono::seconds(2);
  /// Time for which dead members stay in the list. Longer than a network partition between regions,
  /// which can last an hour.
  Duration DeadRetention = std::chrono::hours(2);
  /// If two ticks are at least this far apart, the process is taken to have been paused in between.
  Duration PauseThreshold = std::chrono::seconds(1);
  /// Time until a leaving VM is assumed to stop if the VM list gives no deadline.
  std::chrono::milliseconds DefaultLeaveTime = std::chrono::seconds(5);
  /// Load in percent from which a node is removed from the entry list, and below which it returns
  /// to the list. They differ so that a load near one threshold does not toggle the state.
  std::uint8_t OverloadThreshold = 90;
  std::uint8_t OverloadClearThreshold = 80;
  /// Minimum time between two changes between overloaded and not overloaded that a node announces.
  Duration LoadChangePeriod = std::chrono::seconds(5);
};

} // namespace chervil::membership

#endif
