// The value of a duty's key: who holds it. Use:
//   std::string value = formatHolder({"node-1", 17, "10.0.0.1:7000"});
#ifndef CHERVIL_DUTY_HOLDER_H
#define CHERVIL_DUTY_HOLDER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervil::duty {

struct Holder {
  std::string Node;
  /// Start of the node, so that two starts are never taken for the same holder.
  std::uint64_t Incarnation = 0;
  std::string PeerAddress;
};

std::string formatHolder(const Holder &holder);
/// Nothing for a value that formatHolder() did not write.
std::optional<Holder> parseHolder(std::string_view value);

} // namespace chervil::duty

#endif
