// The load header of engines and small pieces of their URLs.
#ifndef CHERVIL_DAEMON_ENGINELOAD_H
#define CHERVIL_DAEMON_ENGINELOAD_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervil::daemon {

struct EngineLoad {
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Slots = 0;
  std::chrono::milliseconds Age{0};
};

/// Reads "running=R;queued=Q;slots=S;age_ms=A"; nothing for any other text.
std::optional<EngineLoad> parseEngineLoad(std::string_view text);

/// Percent-encodes everything that is not unreserved (RFC 3986).
std::string escapePath(std::string_view text);

} // namespace chervil::daemon

#endif
