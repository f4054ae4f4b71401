// The properties of a request that the choice of its back end depends on.
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
  /// Kind of work as named in the contract; lengths are predicted by customer and kind.
  std::string Kind;
  message::WorkKind TargetKind = message::WorkKind::Model;
  /// Name of the model or the service.
  std::string Target;
  /// Chained hashes of the blocks of the prompt: element i covers the blocks 0 to i.
  std::vector<std::uint64_t> PrefixHashes;
  std::uint32_t PromptTokens = 0;
  /// Output tokens announced by the caller; 0 if unknown, a prediction is then used.
  std::uint32_t ExpectedTokens = 0;
  /// Upper bound on output tokens; 0 if unbounded.
  std::uint32_t MaxTokens = 0;
  /// 0 is most urgent.
  std::uint8_t Priority = 1;
  /// The work may be run more than once.
  bool Repeatable = true;
  /// Set if a back end died while it ran this content. The request then runs alone on its back end.
  std::optional<Suspicion> Suspect;
  /// Names of back ends not to be used, such as those where this request has failed.
  std::vector<std::string> Avoid;
};

} // namespace chervil::routing

#endif
