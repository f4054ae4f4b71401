// The properties of a request that routing depends on. Its header fields and body stay with the
// user of this package.
#ifndef CHERVIL_RELAY_REQUESTINFO_H
#define CHERVIL_RELAY_REQUESTINFO_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace chervil::relay {

/// A part of a prompt, identified by the hash that the caller sent.
struct PromptPart {
  std::uint64_t Hash = 0;
  std::uint32_t Tokens = 0;
};

/// Hashes of the parts of a prompt that other requests may have, that is all but the last.
std::vector<std::uint64_t> sharedParts(std::span<const PromptPart> prompt);

/// Longest time that a caller is taken to wait for an answer. A time near 2^63 ms, added to the
/// time of arrival, would overflow.
inline constexpr std::chrono::milliseconds MaxDeadline = std::chrono::hours(24);

/// Properties of one request.
struct RequestInfo {
  /// The caller's id of this attempt; may be empty.
  std::string AttemptId;
  std::string Host;
  /// Path of the target, without the query.
  std::string Path;
  /// Secret of the workspace; may be empty.
  std::string Key;
  /// How long the caller waits for the answer, at most MaxDeadline; empty if it did not say.
  std::optional<std::chrono::milliseconds> Deadline;
  std::string Model;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0;
  /// The caller stated PromptTokens and OutputTokens.
  bool HasTokens = false;
  /// The caller's estimate of the number of output tokens; 0 if there is none.
  std::uint32_t OutputHint = 0;
  /// Parts in order. The last part belongs to this request or its session only; those before it may
  /// be shared.
  std::vector<PromptPart> Prompt;
  /// Id of the event after which the caller resumes a stream; empty if it does not.
  std::string ResumeAfter;
  /// Hash of method, target, key and body. A request that is sent again has the same hash.
  std::uint64_t ContentHash = 0;
};

} // namespace chervil::relay

#endif
