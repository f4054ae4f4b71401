// What the membership protocol asks its caller to do. Use:
//   for (auto &it : effects.Messages) send(it.Address, std::move(it.Body));
#ifndef CHERVIL_MEMBERSHIP_EFFECTS_H
#define CHERVIL_MEMBERSHIP_EFFECTS_H

#include "message/Message.h"

#include <string>
#include <vector>

namespace chervil::membership {

struct OutgoingMessage {
  /// Peer address, "ip:port".
  std::string Address;
  message::Message Body;
};

/// A member entered a state. A replaced incarnation is reported Dead before the new one is Alive.
struct MemberChange {
  NodeId Id;
  message::MemberState State = message::MemberState::Alive;
};

struct Effects {
  std::vector<OutgoingMessage> Messages;
  std::vector<MemberChange> Changes;
};

} // namespace chervil::membership

#endif
