// Leaving executor to a node that is asked to execute the request from here on.
#ifndef CHERVIL_MESSAGE_HANDOVER_H
#define CHERVIL_MESSAGE_HANDOVER_H

#include "message/RecordCopy.h"

namespace chervil::message {

struct Handover {
  RecordCopy Record;
};

} // namespace chervil::message

#endif
