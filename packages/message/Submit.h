// From a gateway to the owner: asks it to accept a request, or registers an execution with a new
// owner. Answered by SubmitReply.
#ifndef CHERVIL_MESSAGE_SUBMIT_H
#define CHERVIL_MESSAGE_SUBMIT_H

#include "message/RecordCopy.h"

namespace chervil::message {

struct Submit {
  RecordCopy Record;
  /// Epoch of the shard in the sender's shard map.
  std::uint64_t Epoch = 0;
  /// True if the sender already executes the request and registers the execution.
  bool Executing = false;
  /// True if the receiver is asked to keep the record although it is not the owner.
  bool Fallback = false;
  /// Data centre of the sender.
  std::string DataCentre;
};

} // namespace chervil::message

#endif
