// What routing needs to know about one request.
#ifndef CHERVIL_ROUTING_WORKREQUEST_H
#define CHERVIL_ROUTING_WORKREQUEST_H

#include "message/RequestSpec.h"
#include "routing/Suspicion.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervil::routing {

struct WorkRequest {
  std::string Customer;
  /// Kind of work as the contract names it; lengths are predicted by customer and kind.
  std::string Kind;
  message::WorkKind TargetKind = message::WorkKind::Model;
  /// Name of the model or the service.
  std::string Target;
  /// Chained hashes of the prompt's blocks, first block first: element i covers blocks 0..i.
  std::vector<std::uint64_t> PrefixHashes;
  std::uint32_t PromptTokens = 0;
  /// Tokens the caller announced, 0 when unknown: the prediction is used then.
  std::uint32_t ExpectedTokens = 0;
  /// Upper bound on tokens, 0 when unbounded.
  std::uint32_t MaxTokens = 0;
  /// 0 is most urgent.
  std::uint8_t Priority = 1;
  bool Repeatable = true;
  /// Set when a back end died while running this content: the request runs alone.
  std::optional<Suspicion> Suspect;
  /// Names of back ends not to use, such as those that already failed this request.
  std::vector<std::string> Avoid;
};

} // namespace chervil::routing

#endif
