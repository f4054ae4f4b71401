// Time-driven work of the record table.
#ifndef CHERVIL_RECORD_RETENTION_H
#define CHERVIL_RECORD_RETENTION_H

#include "record/Effects.h"
#include "record/State.h"

namespace chervil::record {

/// Ends replies that waited too long for the standby, repeats stalled transfers, keeps answers
/// within their budget and forgets keys after the retry horizon. Call about every 50 ms.
Effects tick(State &state, const Now &now);

} // namespace chervil::record

#endif
