// Identity of one run of a node. Use: NodeId{"pamplona-1", 1764800000000}
#ifndef CHERVIL_BASE_NODEID_H
#define CHERVIL_BASE_NODEID_H

#include <compare>
#include <cstdint>
#include <string>

namespace chervil {

/// A restarted node keeps its name and gets a new incarnation, because it has lost its state.
struct NodeId {
  std::string Name;
  /// Start time in wall-clock milliseconds; 0 means "no node".
  std::uint64_t Incarnation = 0;

  auto operator<=>(const NodeId &) const = default; // NOLINT(modernize-use-nullptr): false positive
};

/// False for the value that stands for "no node".
inline bool isSet(const NodeId &id) { return id.Incarnation != 0; }

} // namespace chervil

#endif
