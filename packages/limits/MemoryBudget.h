// The memory that a process holds for clients and backend servers. Use:
//   MemoryBudget budget = makeMemoryBudget(settings.Edge.MemoryMb * 1'000'000);
//   adjust(budget, MemoryUse::Requests, before, after);
//   if (!hasRoom(budget, length)) refuse();
//   while (excessBytes(budget) > 0)
//     if (const auto it = chooseEviction(budget, holders, now)) close(*it); else break;
// Decides only; its callers hold the bytes and report every change of them. Not thread-safe.
#ifndef CHERVIL_LIMITS_MEMORYBUDGET_H
#define CHERVIL_LIMITS_MEMORYBUDGET_H

#include "base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace chervil::limits {

/// What bytes are held for.
enum class MemoryUse : std::uint8_t {
  /// Heads and bodies of requests, until their responses are complete.
  Requests,
  /// Responses that clients have not taken yet.
  Responses,
  /// Responses of backend servers that are being collected.
  BackendAnswers,
};
inline constexpr std::size_t MemoryUses = 3;

/// Name of a use in metrics.
const char *toString(MemoryUse use);

/// A request or response up to this size counts as small. Services other than model engines send
/// bodies of some hundred bytes, and the longest prompt of a model request has 100,000 bytes.
inline constexpr std::uint64_t SmallBytes = std::uint64_t{32} << 10U;
/// Part of the ceiling that only small requests and responses use, so that large ones do not starve
/// them.
inline constexpr double SmallReserveFraction = 0.15;
/// Part of the memory of the VM that is left to the process itself: code, state, allocator overhead
/// and the copy that a growing buffer needs for a moment.
inline constexpr double ProcessReserveFraction = 0.4;

/// A request body that has made no progress for this long is evicted before others. A client that
/// is in calm sends its body without a pause.
inline constexpr Duration StalledRequestTime = std::chrono::seconds(1);
/// A response is only evicted if its client has taken nothing for this long. It exceeds two
/// retransmissions of a lost packet.
inline constexpr Duration StalledResponseTime = std::chrono::seconds(3);

struct MemoryBudget {
  /// Bytes that all uses may hold together.
  std::uint64_t Ceiling = 0;
  /// The same for large requests and responses.
  std::uint64_t LargeCeiling = 0;
  /// By MemoryUse.
  std::array<std::uint64_t, MemoryUses> Held{};
};

/// Returns the budget of a process on a VM with this much memory.
MemoryBudget makeMemoryBudget(std::uint64_t vmBytes);

/// Bytes that are held for all uses.
std::uint64_t heldBytes(const MemoryBudget &budget);

/// Replaces the contribution of one holder.
void adjust(MemoryBudget &budget, MemoryUse use, std::uint64_t before, std::uint64_t after);

/// Returns true if `bytes` more fit: below Ceiling if they are few, else below LargeCeiling.
bool hasRoom(const MemoryBudget &budget, std::uint64_t bytes);

/// Bytes that large holders have to free.
std::uint64_t excessBytes(const MemoryBudget &budget);

/// A connection that holds memory, as chooseEviction() sees it.
struct MemoryHolder {
  std::uint64_t Bytes = 0;
  /// When its request began.
  TimePoint Started{};
  /// When its request last grew, or its client last took bytes of the response.
  TimePoint LastProgress{};
  /// True if its request is complete and its response is waiting for the client.
  bool IsResponse = false;
};

/// Returns the index of the holder to evict while there is an excess: the one that has been stalled
/// longest, or else the request that began last, so that earlier ones can end. Small holders are
/// evicted only above Ceiling. Empty if none may be evicted: a response whose client takes it, and
/// requests that are being served, are kept.
std::optional<std::size_t> chooseEviction(const MemoryBudget &budget,
                                          std::span<const MemoryHolder> holders, const Now &now);

} // namespace chervil::limits

#endif
