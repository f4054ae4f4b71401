#include "daemon/PlatformFeed.h"

#include "config/Store.h"
#include "membership/Queries.h"
#include "net/Loop.h"

#include <glog/logging.h>

namespace chervil::daemon {
namespace {

using namespace std::chrono_literals;
using platform::CallOutcome;

constexpr const char *ShardMapKey = "shards/map";
constexpr const char *ConfigPrefix = "config/";
constexpr const char *ShardPrefix = "shards/";
constexpr const char *DutyKey = "duty/shards";
// Who watches changes with the members; a node that became a watcher notices within a second.
constexpr Duration ReviewPeriod = 1s;
constexpr Duration RereadDelay = 300ms;
// A reclaim leaves five seconds in which the shards of the former holder must move as well.
constexpr std::chrono::milliseconds DutyRetryPeriod{1000};

void deliverDocument(const PlatformFeed &feed, const std::string &key, const std::string &body) {
  const Result<message::DocUpdate> update = config::makeDocUpdate(key, body);
  if (!update) {
    LOG(WARNING) << "platform: key " << key << " is not a versioned document.";
    return;
  }
  feed.Deliver(node::Document{update->Name, update->Version, update->Body});
}

routing::Backend backendOf(const platform::Vm &vm, const Now &now) {
  routing::Backend backend;
  backend.Name = vm.Id;
  backend.Address = vm.Address;
  backend.Kind =
      vm.Role == platform::VmRole::Service ? message::WorkKind::Service : message::WorkKind::Model;
  backend.Targets = vm.Targets;
  backend.Zone = vm.Zone;
  backend.DataCentre = vm.DataCentre;
  backend.MachineClass = vm.Class;
  backend.Price = vm.PricePerHour;
  backend.Slots = vm.Slots;
  backend.FencingChecked = vm.ChecksFencing;
  if (vm.State == platform::VmState::Leaving) {
    backend.State = routing::BackendState::Leaving;
    backend.Deadline = now.Steady + std::chrono::duration_cast<Duration>(vm.LeaveBy - now.Wall);
  }
  return backend;
}

/// Name of the member that serves callers at an address; empty when unknown.
std::string memberAt(const PlatformFeed &feed, const std::string &address) {
  for (const auto &[name, member] : feed.Node->Members.Members)
    if (member.Info.CallerAddress == address)
      return name;
  return {};
}

void onVms(PlatformFeed &feed, const platform::VmChanges &changes) {
  node::NodeNotices notices;
  bool backends = false;
  for (const platform::Vm &vm : changes.Vms) {
    if (vm.Role == platform::VmRole::Node) {
      feed.NodeVms[vm.Id] = vm.Address;
      if (vm.State == platform::VmState::Leaving)
        notices.Notices.push_back({memberAt(feed, vm.Address), true, vm.LeaveBy});
      // Without the time of its end a VM that is gone proves nothing: the list lags, and a new
      // process may have the address by now.
      if (vm.State == platform::VmState::Gone && vm.LeaveBy != WallTime{})
        notices.DeletedVms.push_back({memberAt(feed, vm.Address), vm.LeaveBy});
      continue;
    }
    backends = true;
    if (vm.State == platform::VmState::Gone)
      feed.Vms.erase(vm.Id);
    else
      feed.Vms[vm.Id] = vm;
  }
  if (!notices.Notices.empty() || !notices.DeletedVms.empty())
    feed.Deliver(std::move(notices));
  if (!backends)
    return;
  node::BackendList list;
  const Now now = net::readNow();
  for (const auto &[id, vm] : feed.Vms)
    list.Backends.push_back(backendOf(vm, now));
  LOG(INFO) << "platform: " << list.Backends.size() << " back ends are listed.";
  feed.Deliver(std::move(list));
}

void onNotices(PlatformFeed &feed, const std::vector<platform::ReclaimNotice> &notices) {
  node::NodeNotices nodes;
  for (const platform::ReclaimNotice &it : notices) {
    LOG(INFO) << "platform: VM " << it.Vm << " is to be reclaimed.";
    if (feed.Vms.contains(it.Vm))
      feed.Deliver(node::BackendNotice{it.Vm, it.LeaveBy});
    else if (const auto vm = feed.NodeVms.find(it.Vm); vm != feed.NodeVms.end())
      nodes.Notices.push_back({memberAt(feed, vm->second), true, it.LeaveBy});
  }
  if (!nodes.Notices.empty())
    feed.Deliver(std::move(nodes));
}

platform::LongPollPtr watch(PlatformFeed &feed, const char *prefix, std::uint64_t revision) {
  return platform::watchKv(
      *feed.Client, prefix, revision,
      [&feed](const platform::KvChanges &changes) {
        for (const platform::KvEvent &it : changes.Events)
          if (it.Value)
            deliverDocument(feed, it.Key, *it.Value);
      },
      [prefix](CallOutcome, const std::string &error) {
        LOG_EVERY_N(WARNING, 20) << "platform: the watch of " << prefix << " failed: " << error;
      });
}

void readPrefix(PlatformFeed &feed, const char *prefix, platform::LongPollPtr &poll, bool keep) {
  feed.Reading = true;
  platform::kvList(*feed.Client, prefix,
                   [&feed, prefix, &poll, keep](const platform::CallResult<platform::KvList> &r) {
                     feed.Reading = false;
                     if (r.Outcome != CallOutcome::Done)
                       return;
                     for (const platform::KvItem &it : r.Value.Items)
                       deliverDocument(feed, it.Key, it.Value);
                     if (keep)
                       poll = watch(feed, prefix, r.Value.Revision);
                   });
}

/// Reads the shard map and announces the duty with its revision; repeated until it succeeds.
void announceDuty(PlatformFeed &feed) {
  if (!feed.Duty || !platform::isHeld(*feed.Duty, net::readNow().Steady))
    return;
  platform::kvGet(*feed.Client, ShardMapKey,
                  [&feed](const platform::CallResult<platform::KvItem> &r) {
                    if (r.Outcome == CallOutcome::NotFound) {
                      feed.Deliver(node::ShardDuty{true, 0});
                      return;
                    }
                    if (r.Outcome != CallOutcome::Done) {
                      net::after(*feed.Timers, RereadDelay, [&feed] { announceDuty(feed); });
                      return;
                    }
                    deliverDocument(feed, r.Value.Key, r.Value.Value);
                    feed.Deliver(node::ShardDuty{true, r.Value.Revision});
                  });
}

void startDuty(PlatformFeed &feed) {
  feed.Duty = platform::startLeaseHolder(
      *feed.Client,
      {.Key = DutyKey, .Holder = feed.Node->Self.Name, .RetryPeriod = DutyRetryPeriod},
      {.OnAcquired =
           [&feed](std::uint64_t fencing) {
             LOG(INFO) << "shard: the lease is held under number " << fencing << ".";
             announceDuty(feed);
           },
       .OnLost =
           [&feed] {
             LOG(INFO) << "shard: the lease is no longer held.";
             feed.Deliver(node::ShardDuty{false, 0});
           }});
}

void review(PlatformFeed &feed) {
  const bool leaving = feed.Node->Leaving.has_value();
  const bool watcher = membership::isWatcher(feed.Node->Members, feed.Node->Self);
  if (watcher && !leaving && !feed.Duty)
    startDuty(feed);
  if ((!watcher || leaving) && feed.Duty)
    releaseDuties(feed);
  if (!watcher) {
    feed.ConfigWatch.reset();
    feed.ShardWatch.reset();
  }
  if (feed.Reading)
    return;
  // A node that is no watcher reads once if no peer could tell it anything.
  if (watcher ? !feed.ConfigWatch : feed.Node->Contracts.empty())
    readPrefix(feed, ConfigPrefix, feed.ConfigWatch, watcher);
  if (watcher ? !feed.ShardWatch : feed.Node->Map.Version == 0)
    readPrefix(feed, ShardPrefix, feed.ShardWatch, watcher);
}

} // namespace

void start(PlatformFeed &feed) {
  const auto report = [](const char *what) {
    return [what](CallOutcome, const std::string &error) {
      LOG_EVERY_N(WARNING, 20) << "platform: polling " << what << " failed: " << error;
    };
  };
  feed.VmPoll = platform::pollVms(
      *feed.Client, 0, [&feed](const platform::VmChanges &it) { onVms(feed, it); },
      report("the VM list"));
  if (feed.HasCloud)
    feed.NoticePoll = platform::pollNotices(
        *feed.Client, 0,
        [&feed](const std::vector<platform::ReclaimNotice> &it) { onNotices(feed, it); },
        report("notices"));
  net::every(*feed.Timers, ReviewPeriod, [&feed] { review(feed); });
  review(feed);
}

void writeShardMap(PlatformFeed &feed, const node::WriteShardMap &write) {
  using Outcome = node::ShardMapWritten::Outcome;
  if (!feed.Duty || !platform::isHeld(*feed.Duty, net::readNow().Steady)) {
    feed.Deliver(node::ShardMapWritten{Outcome::Unavailable, 0});
    feed.Deliver(node::ShardDuty{false, 0});
    return;
  }
  platform::kvPut(
      *feed.Client, ShardMapKey, write.Body, write.IfRevision, {},
      [&feed, write](const platform::CallResult<std::uint64_t> &r) {
        if (r.Outcome == CallOutcome::Done) {
          LOG(INFO) << "shard: map version " << write.Version << " is written.";
          feed.Deliver(node::ShardMapWritten{Outcome::Done, r.Value});
          feed.Deliver(node::Document{ShardMapKey, write.Version, write.Body});
          return;
        }
        LOG(WARNING) << "shard: writing map version " << write.Version
                     << " failed, the map is read again.";
        const bool conflict = r.Outcome == CallOutcome::Conflict;
        feed.Deliver(node::ShardMapWritten{conflict ? Outcome::Conflict : Outcome::Unavailable, 0});
        net::after(*feed.Timers, RereadDelay, [&feed] { announceDuty(feed); });
      });
}

void releaseDuties(PlatformFeed &feed) {
  if (!feed.Duty)
    return;
  const platform::LeaseHolderPtr duty = std::move(feed.Duty);
  feed.Duty.reset();
  platform::release(*duty);
}

} // namespace chervil::daemon
