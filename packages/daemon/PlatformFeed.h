// Keeps a node informed by the platform: VM list, reclaim notices, configuration and the lease
// duty/shards. Use:
//   PlatformFeed feed{...};
//   start(feed);
//   writeShardMap(feed, effect);
#ifndef CHERVIL_DAEMON_PLATFORMFEED_H
#define CHERVIL_DAEMON_PLATFORMFEED_H

#include "net/TimerService.h"
#include "node/Event.h"
#include "node/State.h"
#include "node/SystemEffects.h"
#include "platform/CloudClient.h"
#include "platform/KvClient.h"
#include "platform/LeaseHolder.h"

#include <functional>
#include <map>
#include <string>

namespace chervil::daemon {

struct PlatformFeed {
  platform::PlatformClient *Client = nullptr;
  net::TimerService *Timers = nullptr;
  const node::State *Node = nullptr;
  std::function<void(node::Event)> Deliver;
  /// False when the settings name no cloud API.
  bool HasCloud = true;

  /// Back ends by VM id.
  std::map<std::string, platform::Vm> Vms;
  /// Addresses of entry VMs by VM id; the list names VMs by ids of the cloud.
  std::map<std::string, std::string> NodeVms;
  platform::LongPollPtr VmPoll;
  platform::LongPollPtr NoticePoll;
  platform::LongPollPtr ConfigWatch;
  platform::LongPollPtr ShardWatch;
  platform::LeaseHolderPtr Duty;
  bool Reading = false;
};

/// Starts the polls; the feed must stay where it is from here on.
void start(PlatformFeed &feed);

/// Carries out a compare-and-swap of shards/map.
void writeShardMap(PlatformFeed &feed, const node::WriteShardMap &write);

/// Gives the lease back, when the node leaves.
void releaseDuties(PlatformFeed &feed);

} // namespace chervil::daemon

#endif
