// States which nodes hold the copies of an accepted request; reported to callers in the header
// Chervil-Copies.
#ifndef CHERVIL_MESSAGE_COPYPLACEMENT_H
#define CHERVIL_MESSAGE_COPYPLACEMENT_H

#include <cstdint>

namespace chervil::message {

enum class CopyPlacement : std::uint8_t {
  /// In two data centres; one copy is on the owner of the key's shard.
  Owner,
  /// On a node that is not the owner, because the owner was unreachable.
  Peer,
  /// Only on the gateway, or only in one data centre.
  Local,
};

/// Value of the Chervil-Copies header.
constexpr const char *toString(CopyPlacement copies) {
  switch (copies) {
  case CopyPlacement::Owner:
    return "owner";
  case CopyPlacement::Peer:
    return "peer";
  case CopyPlacement::Local:
    return "local";
  }
  return "local";
}

} // namespace chervil::message

#endif
