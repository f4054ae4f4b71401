// Clients of the VM list and the cloud API. Use:
//   LongPollPtr vms = pollVms(client, 0, [](const VmChanges &c) {...}, {});
//   requestVm(client, {.RequestId = id, .Zone = "z1", .Class = "gpu"}, [](const auto &r) {...});
#ifndef CHERVIL_PLATFORM_CLOUDCLIENT_H
#define CHERVIL_PLATFORM_CLOUDCLIENT_H

#include "base/Time.h"
#include "platform/KvClient.h"
#include "platform/PlatformClient.h"

#include <optional>
#include <vector>

namespace chervil::platform {

enum class VmRole : std::uint8_t { Node, Model, Service };
enum class VmState : std::uint8_t { Live, Leaving, Gone };

struct Vm {
  std::string Id;
  /// "ip:port".
  std::string Address;
  VmRole Role = VmRole::Model;
  /// Models or services the VM serves.
  std::vector<std::string> Targets;
  std::string Region;
  std::string DataCentre;
  std::string Zone;
  std::string Class;
  bool Reclaimable = true;
  double PricePerHour = 0;
  std::uint32_t Slots = 0;
  /// False if the engine ignores fencing numbers.
  bool ChecksFencing = false;
  VmState State = VmState::Live;
  /// When a leaving VM stops; the epoch if not stated.
  WallTime LeaveBy{};
};

struct VmChanges {
  std::uint64_t Revision = 0;
  std::vector<Vm> Vms;
  /// Entries that did not have the published shape and were left out.
  std::size_t Malformed = 0;
};

struct ReclaimNotice {
  std::uint64_t Seq = 0;
  std::string Vm;
  WallTime LeaveBy{};
};

struct VmPrice {
  std::string Zone;
  std::string Class;
  bool Reclaimable = true;
  double PricePerHour = 0;
};

struct VmRequest {
  /// Repeating a request with the same id does not create a second VM.
  std::string RequestId;
  std::string Zone;
  std::string Class;
  VmRole Role = VmRole::Model;
  std::string Target;
  bool Reclaimable = true;
};

struct StoredWeights {
  std::string Name;
  std::string Version;
  std::uint64_t Bytes = 0;
};

struct WeightStoreState {
  std::vector<StoredWeights> Weights;
  /// Rate the store permits over all loads.
  std::uint64_t BytesPerSecond = 0;
};

/// Reports VMs that changed after `revision`; 0 for all. The position never goes back.
LongPollPtr pollVms(PlatformClient &client, std::uint64_t revision,
                    std::function<void(const VmChanges &changes)> onChanges, OnPollError onError);

/// Reports notices with a number above `seq`.
LongPollPtr pollNotices(PlatformClient &client, std::uint64_t seq,
                        std::function<void(const std::vector<ReclaimNotice> &notices)> onNotices,
                        OnPollError onError);

/// The id of the new VM; Refused if the cloud has none (503).
void requestVm(PlatformClient &client, const VmRequest &request, OnResult<std::string> callback);

void releaseVm(PlatformClient &client, const std::string &id, OnResult<bool> callback);

void getPrices(PlatformClient &client, OnResult<std::vector<VmPrice>> callback);

void getWeights(PlatformClient &client, OnResult<WeightStoreState> callback);

} // namespace chervil::platform

#endif
