// News about one member, carried on probes and acknowledgements.
#ifndef CHERVIL_MESSAGE_MEMBERUPDATE_H
#define CHERVIL_MESSAGE_MEMBERUPDATE_H

#include "base/NodeId.h"
#include "base/Time.h"
#include "message/MemberState.h"

#include <cstdint>
#include <string>

namespace chervil::message {

struct MemberUpdate {
  NodeId Id;
  std::string Region;
  std::string DataCentre;
  /// "ip:port" for peers.
  std::string PeerAddress;
  /// "ip:port" for callers.
  std::string CallerAddress;
  MemberState State = MemberState::Alive;
  /// Raised by the member itself to refute a suspicion.
  std::uint32_t Refutation = 0;
  /// When a leaving member stops; the epoch when it is not leaving.
  WallTime LeaveBy{};
  /// Load in percent of the node's capacity, for the order of entry addresses.
  std::uint8_t Load = 0;
};

} // namespace chervil::message

#endif
