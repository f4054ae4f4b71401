// The data needed to run a request on a back end.
#ifndef CHERVIL_MESSAGE_REQUESTSPEC_H
#define CHERVIL_MESSAGE_REQUESTSPEC_H

#include <chrono>
#include <cstdint>
#include <string>

namespace chervil::message {

/// Whether a request is for a model or for a service.
enum class WorkKind : std::uint8_t { Model, Service };

struct RequestSpec {
  WorkKind Kind = WorkKind::Model;
  /// Name of the model or of the service.
  std::string Target;
  /// HTTP method, and the path relative to the service; both are empty for model requests.
  std::string Method;
  std::string Path;
  std::string ContentType;
  std::string Body;
  /// True if the caller wants the answer as a stream.
  bool Stream = false;
  /// True if the request may run more than once.
  bool Repeatable = true;
  /// 0 is the most urgent.
  std::uint8_t Priority = 1;
  /// Upper bound on the number of tokens to generate; 0 if not stated.
  std::uint32_t MaxTokens = 0;
  /// Bound on the time at a back end; 0 for no bound.
  std::chrono::milliseconds Timeout{0};
  /// Kind of work, as named in the hints of the contract; may be empty.
  std::string Hint;
};

} // namespace chervil::message

#endif
