// Periodic work of the record table: timeouts and expiry.
#ifndef CHERVIL_RECORD_RETENTION_H
#define CHERVIL_RECORD_RETENTION_H

#include "record/Effects.h"
#include "record/State.h"

namespace chervil::record {

/// Resolves replies that waited too long for the standby, restarts stalled transfers, discards the
/// oldest answers beyond the budget and drops keys after the retry horizon. To be called about
/// every 50 ms.
Effects tick(State &state, const Now &now);

} // namespace chervil::record

#endif
