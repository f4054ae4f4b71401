// The values of the keys of a duty, which name the node that holds it or held it last. Usage:
//   std::string value = formatHolder({"node-1", 17, "10.0.0.1:7000"});
#ifndef CHERVIL_DUTY_HOLDER_H
#define CHERVIL_DUTY_HOLDER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervil::duty {

/// The node that holds a duty.
struct Holder {
  std::string Node;
  /// Identifies one start of the node, so that a restarted node is not taken for the same holder.
  std::uint64_t Incarnation = 0;
  /// HOST:PORT at which other nodes reach the holder.
  std::string PeerAddress;
};

/// The node that last claimed the duty. Its key has no lease and outlives that of the holder.
struct LastHolder {
  std::string Node;
  /// Era of the store in which it claimed the duty, as far as it knew.
  std::uint64_t Era = 0;
};

/// Fields separated by spaces.
std::string formatHolder(const Holder &holder);
/// Returns nothing for a value that does not have the format of formatHolder().
std::optional<Holder> parseHolder(std::string_view value);

/// Fields separated by a space.
std::string formatLastHolder(const LastHolder &holder);
/// Fields that cannot be read are left as they are by default: no node and no era.
LastHolder parseLastHolder(std::string_view value);

} // namespace chervil::duty

#endif
