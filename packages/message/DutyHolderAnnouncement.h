// From the holder of a duty to nodes from which it has not heard recently: the address of the
// holder. A node that gets no answer from the platform's store cannot otherwise learn that the
// holder has changed.
#ifndef CHERVIL_MESSAGE_DUTYHOLDERANNOUNCEMENT_H
#define CHERVIL_MESSAGE_DUTYHOLDERANNOUNCEMENT_H

#include <cstdint>
#include <string>

namespace chervil::message {

struct DutyHolderAnnouncement {
  /// "ip:port" at which the holder accepts connections from peers.
  std::string PeerAddress;
  /// Token of the lease; increases with each new holder.
  std::uint64_t Token = 0;
};

} // namespace chervil::message

#endif
