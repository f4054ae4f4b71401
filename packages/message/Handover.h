// From an executor that is leaving to another node: asks it to take over the execution. Answered by
// HandoverReply.
#ifndef CHERVIL_MESSAGE_HANDOVER_H
#define CHERVIL_MESSAGE_HANDOVER_H

#include "message/RecordCopy.h"

namespace chervil::message {

struct Handover {
  RecordCopy Record;
};

} // namespace chervil::message

#endif
