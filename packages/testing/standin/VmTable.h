// VM list and cloud API without their sockets: grants, notices, reclaims, list lag. Use:
//   VmTable table;
//   registerVm(table, vm, false, now);
//   reclaim(table, {.Zone = "pamplona-a", .Notice = 5s}, now);
//   tick(table, now);   // at short intervals; true if the list or the notices changed
#ifndef CHERVIL_TESTING_STANDIN_VMTABLE_H
#define CHERVIL_TESTING_STANDIN_VMTABLE_H

#include "base/Time.h"
#include "testing/standin/Vm.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chervil::standin {

struct VmNotice {
  std::uint64_t Seq = 0;
  std::string Vm;
  std::string Address;
  std::int64_t LeaveByMs = 0;
};

struct VmOrder {
  std::string RequestId;
  std::string Zone;
  std::string Class;
  std::string Role;
  std::vector<std::string> Target;
  bool Reclaimable = false;
};

/// A granted VM that is not live yet.
struct VmGrant {
  std::string Id;
  VmOrder Order;
  TimePoint BootedAt;
};

struct ListedVm {
  Vm It;
  std::uint64_t Revision = 0;
};

struct VmChange {
  TimePoint At;
  Vm It;
};

struct VmEnd {
  TimePoint At;
  std::string Id;
};

struct VmTable {
  Duration Lag{0};
  Duration BootTime{0};
  std::uint64_t NextId = 1;
  /// True state, without lag.
  std::map<std::string, Vm> Vms;
  /// Processes that wait for a grant.
  std::vector<Vm> Waiting;
  std::vector<VmGrant> Grants;
  /// Request id to VM id, so that a repeated request gives no second VM.
  std::map<std::string, std::string> ByRequest;
  std::set<std::string> RefusedZones;
  bool RefuseAll = false;
  std::vector<VmNotice> Notices;
  std::vector<VmEnd> Ends;
  /// Changes the list does not show yet.
  std::deque<VmChange> Unlisted;
  std::map<std::string, ListedVm> List;
  std::uint64_t ListRevision = 0;
  /// When VMs that are gone leave the list.
  std::vector<VmEnd> Removals;
};

struct ReclaimOrder {
  std::string Zone;
  /// Id or address; takes precedence over the zone.
  std::string Vm;
  Duration Notice{0};
  /// Also on-demand VMs of the zone.
  bool All = false;
};

/// Adds a live VM, or a waiting process, and returns the VM's id (empty while it waits). A VM that
/// had the same address is gone.
std::string registerVm(VmTable &table, Vm vm, bool waiting, const Now &now);

/// Id of the granted VM; nothing when refused.
std::optional<std::string> requestVm(VmTable &table, VmOrder order, const Now &now);

/// The VM or grant ends at once. False if the id was never known.
bool releaseVm(VmTable &table, const std::string &id, const Now &now);

/// Ids of the VMs reclaimed.
std::vector<std::string> reclaim(VmTable &table, const ReclaimOrder &order, const Now &now);

/// Lets VMs go, boots grants and shows due changes. True if the list changed.
bool tick(VmTable &table, const Now &now);

} // namespace chervil::standin

#endif
