// Whether work is expected to be short or long; slots are reserved for short work.
#ifndef CHERVIL_CONTRACT_WORKLENGTH_H
#define CHERVIL_CONTRACT_WORKLENGTH_H

#include <cstdint>

namespace chervil {

enum class WorkLength : std::uint8_t { Short, Long };

constexpr const char *toString(WorkLength length) {
  return length == WorkLength::Short ? "short" : "long";
}

} // namespace chervil

#endif
