// Gateway to owner: accept this request, or register an execution with a new owner.
#ifndef CHERVIL_MESSAGE_SUBMIT_H
#define CHERVIL_MESSAGE_SUBMIT_H

#include "message/RecordCopy.h"

namespace chervil::message {

struct Submit {
  RecordCopy Record;
  /// Epoch of the shard in the sender's map.
  std::uint64_t Epoch = 0;
  /// True if the sender already executes the request and registers it with a new owner.
  bool Executing = false;
  /// True if the receiver is asked to hold the record although it is not the owner.
  bool Fallback = false;
  /// Data centre of the sender.
  std::string DataCentre;
};

} // namespace chervil::message

#endif
