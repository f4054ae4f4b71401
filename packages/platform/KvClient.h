// Client of the key-value service. Use:
//   kvPut(client, "config/head", text, revision, {}, [](const CallResult<std::uint64_t> &r) {...});
//   LongPollPtr watch = watchKv(client, "config/", list.Revision, [](const KvChanges &c) {...},
//   {});
#ifndef CHERVIL_PLATFORM_KVCLIENT_H
#define CHERVIL_PLATFORM_KVCLIENT_H

#include "platform/PlatformClient.h"

#include <optional>
#include <vector>

namespace chervil::platform {

struct KvItem {
  std::string Key;
  std::string Value;
  std::uint64_t Revision = 0;
};

struct KvList {
  std::uint64_t Revision = 0;
  std::vector<KvItem> Items;
};

struct KvEvent {
  std::string Key;
  /// Nothing if the key was deleted.
  std::optional<std::string> Value;
  std::uint64_t Revision = 0;
};

struct KvChanges {
  std::uint64_t Revision = 0;
  std::vector<KvEvent> Events;
};

struct KvLease {
  std::string Id;
  std::chrono::milliseconds Ttl{0};
};

template <typename T> using OnResult = std::function<void(const CallResult<T> &result)>;

void kvGet(PlatformClient &client, const std::string &key, OnResult<KvItem> callback);

void kvList(PlatformClient &client, const std::string &prefix, OnResult<KvList> callback);

/// Writes if the key's revision is `ifRevision`; 0 means that the key must not exist. With a lease,
/// the key is deleted when the lease ends. The result is the new revision, or on a conflict the
/// current one.
void kvPut(PlatformClient &client, const std::string &key, std::string value,
           std::uint64_t ifRevision, const std::optional<std::string> &lease,
           OnResult<std::uint64_t> callback);

void kvDelete(PlatformClient &client, const std::string &key, std::uint64_t ifRevision,
              OnResult<std::uint64_t> callback);

/// Reports changes after `revision` until the poll is destroyed. The position never goes back.
LongPollPtr watchKv(PlatformClient &client, const std::string &prefix, std::uint64_t revision,
                    std::function<void(const KvChanges &changes)> onChanges, OnPollError onError);

void createLease(PlatformClient &client, std::chrono::milliseconds ttl, OnResult<KvLease> callback);

void keepLeaseAlive(PlatformClient &client, const std::string &id, OnResult<bool> callback);

void deleteLease(PlatformClient &client, const std::string &id, OnResult<bool> callback);

} // namespace chervil::platform

#endif
