// Sent to the other nodes that use the same backend servers: which servers have processed which
// shared prompt parts since the sender's previous message of this type.
#ifndef CHERVIL_MESSAGE_CACHEDPROMPTPARTS_H
#define CHERVIL_MESSAGE_CACHEDPROMPTPARTS_H

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::message {

/// Prompt parts that one server has processed.
struct BackendPromptParts {
  std::string Backend;
  /// Hashes of the prompt parts.
  std::vector<std::uint64_t> Parts;
};

struct CachedPromptParts {
  std::vector<BackendPromptParts> Servers;
};

} // namespace chervil::message

#endif
