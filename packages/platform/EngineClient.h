// Client of the engines' control endpoints, and their load report. Use:
//   if (auto load = parseEngineLoad("running=3;queued=0;slots=8;age_ms=120")) ...
//   sendOrder(client, "10.0.1.5:9000", {.OrderId = id, .Fencing = n, .Kind = "load_model"}, cb);
#ifndef CHERVIL_PLATFORM_ENGINECLIENT_H
#define CHERVIL_PLATFORM_ENGINECLIENT_H

#include "platform/KvClient.h"
#include "platform/PlatformClient.h"

#include <map>
#include <optional>
#include <string_view>

namespace chervil::platform {

/// Name of the header, in lower case as HttpCallbacks delivers it.
constexpr std::string_view EngineLoadHeader = "x-engine-load";

struct EngineLoad {
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Slots = 0;
  /// Age of the report when it was sent.
  std::chrono::milliseconds Age{0};
};

/// Nothing unless all four values are present once and fit 32 bits; unknown names are ignored.
std::optional<EngineLoad> parseEngineLoad(std::string_view header);

struct EngineOrder {
  /// Repeating an order with the same id has no further effect.
  std::string OrderId;
  std::uint64_t Fencing = 0;
  std::string Kind;
  /// Further fields of the order, by name.
  std::map<std::string, std::string> Fields;
};

struct KvExport {
  /// "ip:port/ID", given to the importing engine.
  std::string Handle;
  std::uint64_t Bytes = 0;
};

/// Conflict if the engine has seen a higher fencing number. `engine` is "ip:port".
void sendOrder(PlatformClient &client, const std::string &engine, const EngineOrder &order,
               OnResult<bool> callback);

/// Ends a request on the engine; NotFound if it has ended already.
void cancelRequest(PlatformClient &client, const std::string &engine, const std::string &id,
                   OnResult<bool> callback);

/// Asks for the KV cache of a request to be made ready for another engine.
void exportKv(PlatformClient &client, const std::string &engine, const std::string &requestId,
              OnResult<KvExport> callback);

} // namespace chervil::platform

#endif
