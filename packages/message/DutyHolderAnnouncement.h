// From the holder of a duty to nodes that it has not heard of lately: where it can be reached. A
// node that the platform's store does not answer knows of no change of the holder by itself.
#ifndef CHERVIL_MESSAGE_DUTYHOLDERANNOUNCEMENT_H
#define CHERVIL_MESSAGE_DUTYHOLDERANNOUNCEMENT_H

#include <cstdint>
#include <string>

namespace chervil::message {

struct DutyHolderAnnouncement {
  std::string PeerAddress;
  /// Increases from holder to holder.
  std::uint64_t Token = 0;
};

} // namespace chervil::message

#endif
