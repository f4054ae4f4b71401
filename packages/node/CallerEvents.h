// Events caused by callers.
#ifndef CHERVIL_NODE_CALLEREVENTS_H
#define CHERVIL_NODE_CALLEREVENTS_H

#include "message/RequestSpec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::node {

/// A parsed model request or service call. `Handle` identifies the caller's connection in effects.
struct CallerRequest {
  std::uint64_t Handle = 0;
  /// Bearer token.
  std::string Token;
  /// Idempotency key; empty if the caller gave none.
  std::string Key;
  std::uint32_t Attempt = 1;
  /// Repeatable and Priority are filled from the contract.
  message::RequestSpec Spec;
  /// Kind of work, as named in the hints of the contract.
  std::string Hint;
  /// Chained hashes of the prompt's blocks, and its length in tokens; for prefix routing.
  std::vector<std::uint64_t> PrefixHashes;
  std::uint32_t PromptTokens = 0;
};

/// The caller reads or resumes an answer by its key.
struct CallerFetch {
  std::uint64_t Handle = 0;
  std::string Token;
  std::string Key;
  /// First byte of the answer to send.
  std::uint64_t Offset = 0;
  bool Stream = false;
};

/// The caller's connection has ended.
struct CallerDisconnected {
  std::uint64_t Handle = 0;
};

} // namespace chervil::node

#endif
