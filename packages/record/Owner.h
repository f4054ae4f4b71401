// The owner's side of a request record: accept, progress, end. Use:
//   Effects effects = onSubmit(state, from, submit, now);
// Every function takes the sender, which may be the node itself, and returns typed effects.
#ifndef CHERVIL_RECORD_OWNER_H
#define CHERVIL_RECORD_OWNER_H

#include "record/Effects.h"
#include "record/State.h"

namespace chervil::record {

/// Accepts a request, attaches the sender to a known one, or refuses. A non-repeatable request is
/// granted only after the standby has acknowledged its mark (see onMarkReply).
Effects onSubmit(State &state, const NodeId &from, const message::Submit &submit, const Now &now);

/// The standby's answer to a Mark.
Effects onMarkReply(State &state, const NodeId &from, const message::MarkReply &reply,
                    const Now &now);

/// Part of the answer from the executor.
Effects onProgress(State &state, const NodeId &from, const message::Progress &progress,
                   const Now &now);

/// End of the answer from the executor.
Effects onFinish(State &state, const NodeId &from, const message::Finish &finish, const Now &now);

/// Closes an attempt, so that no copy of it will run. Also served by a ready standby, for a gateway
/// that cannot reach the owner.
Effects onClose(State &state, const NodeId &from, const message::Close &close, const Now &now);

/// Starts or cancels the reading of an answer.
Effects onFetch(State &state, const NodeId &from, const message::Fetch &fetch, const Now &now);

/// A leaving executor asks this node to execute the request from here on.
Effects onHandover(State &state, const NodeId &from, const message::Handover &handover,
                   const Now &now);

} // namespace chervil::record

#endif
