// Where the copies of an accepted request are; reported to callers as Chervil-Copies.
#ifndef CHERVIL_MESSAGE_COPYPLACEMENT_H
#define CHERVIL_MESSAGE_COPYPLACEMENT_H

#include <cstdint>

namespace chervil::message {

enum class CopyPlacement : std::uint8_t {
  /// In two data centres, one of them with the owner of the key's shard.
  Owner,
  /// With a node that is not the owner, because the owner could not be reached.
  Peer,
  /// On the gateway, or in one data centre, only.
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
