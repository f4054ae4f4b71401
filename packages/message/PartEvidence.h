// Distributed to all nodes by gossip: which shared parts of prompts were in requests whose answers
// broke off as they began, and which parts are in answers that began and went on.
#ifndef CHERVIL_MESSAGE_PARTEVIDENCE_H
#define CHERVIL_MESSAGE_PARTEVIDENCE_H

#include <chrono>
#include <cstdint>
#include <vector>

namespace chervil::message {

/// Shared parts of the prompt of one request.
struct PromptParts {
  std::vector<std::uint64_t> Parts;
};

/// The end of a server, or of its answers, as one node observed it.
struct ServerDeath {
  /// Hash of the server's id and start.
  std::uint64_t Server = 0;
  std::chrono::milliseconds Age{0};
  /// Requests whose answers broke off as they began.
  std::vector<PromptParts> Suspects;
};

/// A part of a prompt of a request whose answer began and went on.
struct PartSuccess {
  std::uint64_t Part = 0;
  std::chrono::milliseconds Age{0};
};

struct PartEvidence {
  std::vector<ServerDeath> Deaths;
  std::vector<PartSuccess> Successes;
};

} // namespace chervil::message

#endif
