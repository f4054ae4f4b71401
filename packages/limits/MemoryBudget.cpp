#include "limits/MemoryBudget.h"

#include <numeric>

namespace chervil::limits {
namespace {

bool isStalled(const MemoryHolder &it, const Now &now) {
  return now.Steady - it.LastProgress >= (it.IsResponse ? StalledResponseTime : StalledRequestTime);
}

/// True if `a` is evicted before `b`.
bool goesBefore(const MemoryHolder &a, const MemoryHolder &b, const Now &now) {
  const bool aStalled = isStalled(a, now);
  if (aStalled != isStalled(b, now))
    return aStalled;
  return aStalled ? a.LastProgress < b.LastProgress : a.Started > b.Started;
}

} // namespace

const char *toString(MemoryUse use) {
  switch (use) {
  case MemoryUse::Requests:
    return "requests";
  case MemoryUse::Responses:
    return "responses";
  case MemoryUse::BackendAnswers:
    return "backend_answers";
  }
  return "unknown";
}

MemoryBudget makeMemoryBudget(std::uint64_t vmBytes) {
  MemoryBudget budget;
  budget.Ceiling =
      static_cast<std::uint64_t>(static_cast<double>(vmBytes) * (1 - ProcessReserveFraction));
  budget.LargeCeiling =
      static_cast<std::uint64_t>(static_cast<double>(budget.Ceiling) * (1 - SmallReserveFraction));
  return budget;
}

std::uint64_t heldBytes(const MemoryBudget &budget) {
  return std::accumulate(budget.Held.begin(), budget.Held.end(), std::uint64_t{0});
}

void adjust(MemoryBudget &budget, MemoryUse use, std::uint64_t before, std::uint64_t after) {
  std::uint64_t &held = budget.Held[static_cast<std::size_t>(use)];
  held = held - before + after;
}

bool hasRoom(const MemoryBudget &budget, std::uint64_t bytes) {
  return heldBytes(budget) + bytes <= (bytes <= SmallBytes ? budget.Ceiling : budget.LargeCeiling);
}

std::uint64_t excessBytes(const MemoryBudget &budget) {
  const std::uint64_t held = heldBytes(budget);
  return held > budget.LargeCeiling ? held - budget.LargeCeiling : 0;
}

std::optional<std::size_t> chooseEviction(const MemoryBudget &budget,
                                          std::span<const MemoryHolder> holders, const Now &now) {
  const bool evictsSmall = heldBytes(budget) > budget.Ceiling;
  std::optional<std::size_t> chosen;
  for (std::size_t i = 0; i < holders.size(); ++i) {
    const MemoryHolder &it = holders[i];
    if ((it.Bytes <= SmallBytes && !evictsSmall) || (it.IsResponse && !isStalled(it, now)))
      continue;
    if (!chosen || goesBefore(it, holders[*chosen], now))
      chosen = i;
  }
  return chosen;
}

} // namespace chervil::limits
