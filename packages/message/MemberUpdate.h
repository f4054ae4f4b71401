// State of one member, piggybacked on probes and acknowledgements.
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
  /// "ip:port" at which the member accepts connections from peers.
  std::string PeerAddress;
  /// "ip:port" at which the member accepts connections from callers.
  std::string CallerAddress;
  MemberState State = MemberState::Alive;
  /// Counter that the member itself increments to refute a suspicion.
  std::uint32_t Refutation = 0;
  /// Time at which a leaving member stops; the Unix epoch if it is not leaving.
  WallTime LeaveBy{};
  /// Load in percent of the node's capacity; used to order entry addresses.
  std::uint8_t Load = 0;
};

} // namespace chervil::message

#endif
