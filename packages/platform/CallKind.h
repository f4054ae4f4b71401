// Kinds of calls to platform services and engines, each with its own counters.
#ifndef CHERVIL_PLATFORM_CALLKIND_H
#define CHERVIL_PLATFORM_CALLKIND_H

#include <cstddef>
#include <cstdint>

namespace chervil::platform {

enum class CallKind : std::uint8_t {
  KvGet,
  KvList,
  KvPut,
  KvDelete,
  KvWatch,
  LeaseCreate,
  LeaseKeepAlive,
  LeaseDelete,
  VmList,
  Notices,
  Prices,
  VmRequest,
  VmRelease,
  Weights,
  EngineOrder,
  EngineCancel,
  EngineExport,
};

constexpr std::size_t CallKindCount = 17;

/// Label for metrics, for example "kv_get".
constexpr const char *toString(CallKind kind) {
  constexpr const char *names[CallKindCount] = {
      "kv_get",        "kv_list",         "kv_put",       "kv_delete", "kv_watch",
      "lease_create",  "lease_keepalive", "lease_delete", "vm_list",   "notices",
      "prices",        "vm_request",      "vm_release",   "weights",   "engine_order",
      "engine_cancel", "engine_export"};
  return names[static_cast<std::size_t>(kind)];
}

} // namespace chervil::platform

#endif
