// Everything needed to run a request on a back end.
#ifndef CHERVIL_MESSAGE_REQUESTSPEC_H
#define CHERVIL_MESSAGE_REQUESTSPEC_H

#include <chrono>
#include <cstdint>
#include <string>

namespace chervil::message {

enum class WorkKind : std::uint8_t { Model, Service };

struct RequestSpec {
  WorkKind Kind = WorkKind::Model;
  /// Name of the model or the service.
  std::string Target;
  /// HTTP method and path below the service; empty for model work.
  std::string Method;
  std::string Path;
  std::string ContentType;
  std::string Body;
  bool Stream = false;
  bool Repeatable = true;
  /// 0 is most urgent.
  std::uint8_t Priority = 1;
  /// Upper bound on tokens to generate, 0 when not stated.
  std::uint32_t MaxTokens = 0;
  /// Bound on the time at a back end, 0 for none.
  std::chrono::milliseconds Timeout{0};
  /// Kind of work as named in the contract's hints; may be empty.
  std::string Hint;
};

} // namespace chervil::message

#endif
