// Message handlers of the owner of a request record: accept, progress, end, close and read. Use:
//   Effects effects = onSubmit(state, from, submit, now);
// `from` is the sender of the message, which may be this node itself. Errors are sent to it as
// result codes in the reply; the functions themselves cannot fail.
#ifndef CHERVIL_RECORD_OWNER_H
#define CHERVIL_RECORD_OWNER_H

#include "record/Effects.h"
#include "record/State.h"

namespace chervil::record {

/// Grants the sender the execution of a request, attaches it to an execution that is already known,
/// or refuses. A non-repeatable request is granted only after the standby has acknowledged its mark
/// (see onMarkReply).
Effects onSubmit(State &state, const NodeId &from, const message::Submit &submit, const Now &now);

/// Handles the standby's acknowledgement or refusal of a record, and sends the reply that waits for
/// it.
Effects onMarkReply(State &state, const NodeId &from, const message::ReplicateRecordReply &reply,
                    const Now &now);

/// Appends a part of the answer and passes it on to readers and standby. An executor that has been
/// replaced is told to attach instead.
Effects onProgress(State &state, const NodeId &from, const message::Progress &progress,
                   const Now &now);

/// Ends the record with the result from the executor. An Ok result is ignored while bytes of the
/// answer are missing here; the executor then registers again with the whole answer.
Effects onFinish(State &state, const NodeId &from, const message::Finish &finish, const Now &now);

/// Closes an attempt, so that no copy of it will ever run. A ready standby serves this too, for a
/// gateway that cannot reach the owner.
Effects onClose(State &state, const NodeId &from, const message::Close &close, const Now &now);

/// Starts or cancels reading an answer. A running answer is followed until it ends.
Effects onFetch(State &state, const NodeId &from, const message::Fetch &fetch, const Now &now);

/// Takes over the execution of a repeatable request from an executor that leaves the cluster.
Effects onHandover(State &state, const NodeId &from, const message::Handover &handover,
                   const Now &now);

} // namespace chervil::record

#endif
