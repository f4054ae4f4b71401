// Spread among nodes that use the same backend servers: which server has read which shared part of
// prompts since the last such message of the sender.
#ifndef CHERVIL_MESSAGE_HELDPARTS_H
#define CHERVIL_MESSAGE_HELDPARTS_H

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::message {

struct ServerParts {
  std::string Backend;
  /// Hashes of the parts.
  std::vector<std::uint64_t> Parts;
};

struct HeldParts {
  std::vector<ServerParts> Servers;
};

} // namespace chervil::message

#endif
