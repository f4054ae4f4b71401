// UUID version 7 (RFC 9562): an identifier that carries its creation time. Use:
//   std::string key = makeUuid7(now.Wall, rng);
//   if (auto t = uuid7Time(key)) ...
#ifndef CHERVIL_BASE_UUID_H
#define CHERVIL_BASE_UUID_H

#include "base/Random.h"
#include "base/Time.h"

#include <optional>
#include <string>
#include <string_view>

namespace chervil {

std::string makeUuid7(WallTime now, Random &rng);

/// Creation time of a version 7 UUID in its 36-character form; nothing for any other text.
std::optional<WallTime> uuid7Time(std::string_view text);

} // namespace chervil

#endif
