// What a contract says about one model. Use:
//   WorkLength length = workLength(*findModel(contract, name), hint);
#ifndef CHERVIL_CONTRACT_MODELTERMS_H
#define CHERVIL_CONTRACT_MODELTERMS_H

#include "contract/WorkLength.h"

#include <cstdint>
#include <map>
#include <string>

namespace chervil {

struct ModelTerms {
  std::string Name;
  /// Bound on generated tokens for a request that states none.
  std::uint32_t DefaultMaxTokens = 1024;
  /// Length of work without a known hint.
  WorkLength Work = WorkLength::Long;
  /// Length of work by the hint a request carries, for example "shift-briefing".
  std::map<std::string, WorkLength> Hints;

  bool operator==(const ModelTerms &) const = default;
};

/// Length of a request with the given hint; an unknown or empty hint gives the model's default.
inline WorkLength workLength(const ModelTerms &model, const std::string &hint) {
  const auto it = model.Hints.find(hint);
  return it == model.Hints.end() ? model.Work : it->second;
}

} // namespace chervil

#endif
