// What decisions need to know of a request; its fields and body stay with the caller of this
// package.
#ifndef CHERVIL_RELAY_REQUESTINFO_H
#define CHERVIL_RELAY_REQUESTINFO_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervil::relay {

/// A part of a prompt, by the hash that its sender gave it.
struct PromptPart {
  std::uint64_t Hash = 0;
  std::uint32_t Tokens = 0;
};

struct RequestInfo {
  /// The caller's id of this attempt; may be empty.
  std::string AttemptId;
  std::string Host;
  /// Without the query.
  std::string Path;
  /// Secret of the workspace; may be empty.
  std::string Key;
  /// How long the caller waits.
  std::optional<std::chrono::milliseconds> Deadline;
  std::string Model;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0;
  bool HasTokens = false;
  /// Estimate of the output by the caller; 0 if there is none.
  std::uint32_t OutputHint = 0;
  /// In order; the last part belongs to the request or its session.
  std::vector<PromptPart> Prompt;
  /// The event after which the caller resumes a stream; empty if it does not.
  std::string ResumeAfter;
  /// Hash over method, target, key and body: equal for a request that is sent again.
  std::uint64_t ContentHash = 0;
};

} // namespace chervil::relay

#endif
