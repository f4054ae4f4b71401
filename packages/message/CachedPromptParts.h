// Spread among nodes that use the same backend servers: which server has read which shared part of
// prompts since the last such message of the sender.
#ifndef CHERVIL_MESSAGE_CACHEDPROMPTPARTS_H
#define CHERVIL_MESSAGE_CACHEDPROMPTPARTS_H

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::message {

struct BackendPromptParts {
  std::string Backend;
  /// Hashes of the parts.
  std::vector<std::uint64_t> Parts;
};

struct CachedPromptParts {
  std::vector<BackendPromptParts> Servers;
};

} // namespace chervil::message

#endif
