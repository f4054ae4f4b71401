// Where the copies of an accepted request are; reported to callers as Chervil-Copies.
#ifndef CHERVIL_MESSAGE_COPIES_H
#define CHERVIL_MESSAGE_COPIES_H

#include <cstdint>

namespace chervil::message {

enum class Copies : std::uint8_t {
  /// In two data centres, one of them with the owner of the key's shard.
  Owner,
  /// With a node that is not the owner, because the owner could not be reached.
  Peer,
  /// On the gateway, or in one data centre, only.
  Local,
};

/// Value of the Chervil-Copies header.
constexpr const char *toString(Copies copies) {
  switch (copies) {
  case Copies::Owner:
    return "owner";
  case Copies::Peer:
    return "peer";
  case Copies::Local:
    return "local";
  }
  return "local";
}

} // namespace chervil::message

#endif
