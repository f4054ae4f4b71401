// The actions that the membership protocol requests from its caller. Use:
//   for (auto &it : effects.Messages) send(it.Address, std::move(it.Body));
#ifndef CHERVIL_MEMBERSHIP_EFFECTS_H
#define CHERVIL_MEMBERSHIP_EFFECTS_H

#include "message/Message.h"

#include <string>
#include <vector>

namespace chervil::membership {

/// A message to a peer.
struct OutgoingMessage {
  /// Peer address, "ip:port".
  std::string Address;
  message::Message Body;
};

/// A member entered a state. If a newer incarnation replaces an older one, the older one is
/// reported as Dead first.
struct MemberChange {
  NodeId Id;
  message::MemberState State = message::MemberState::Alive;
};

/// Messages to send, and state changes of members in the order in which they happened.
struct Effects {
  std::vector<OutgoingMessage> Messages;
  std::vector<MemberChange> Changes;
};

} // namespace chervil::membership

#endif
