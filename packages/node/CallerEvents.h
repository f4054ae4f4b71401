// What callers do, as the node sees it.
#ifndef CHERVIL_NODE_CALLEREVENTS_H
#define CHERVIL_NODE_CALLEREVENTS_H

#include "message/RequestSpec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::node {

/// A parsed model request or service call. `Handle` names the caller's connection in effects.
struct CallerRequest {
  std::uint64_t Handle = 0;
  std::string Token;
  /// Idempotency key; empty when the caller gave none.
  std::string Key;
  std::uint32_t Attempt = 1;
  /// Repeatable and Priority are filled from the contract.
  message::RequestSpec Spec;
  /// Kind of work as named in the contract's hints.
  std::string Hint;
  /// Chained hashes of the prompt's blocks and its length, for prefix routing.
  std::vector<std::uint64_t> PrefixHashes;
  std::uint32_t PromptTokens = 0;
};

/// Read or resume an answer by its key.
struct CallerFetch {
  std::uint64_t Handle = 0;
  std::string Token;
  std::string Key;
  std::uint64_t Offset = 0;
  bool Stream = false;
};

/// The caller's connection has ended.
struct CallerDisconnected {
  std::uint64_t Handle = 0;
};

} // namespace chervil::node

#endif
