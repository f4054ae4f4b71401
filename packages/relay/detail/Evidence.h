// What answers say about the versions of a service during a rollout: good, failed and slow answers
// by route. docs/design/rollouts-and-proofs.md, "Evidence", lists what is left out. The functions
// are called before the call of the request ends. Internal to the package.
#ifndef CHERVIL_RELAY_DETAIL_EVIDENCE_H
#define CHERVIL_RELAY_DETAIL_EVIDENCE_H

#include "relay/detail/Context.h"

namespace chervil::relay::detail {

/// Notes a complete answer without a failure: good, or slow.
void noteAnswer(Context &ctx, const ActiveRequest &request);

/// Notes an event of a stream, by which its speed is judged.
void noteEvent(ActiveRequest &request, const Now &now);

/// Notes a failure of the server. A request that failed at both versions is no evidence.
void noteFailed(Context &ctx, ActiveRequest &request);

/// Notes a connection that broke. It is evidence once the server turns out not to have crashed.
void noteBroken(Context &ctx, ActiveRequest &request);

/// Notes that a server refuses connections.
void noteUnreachable(Context &ctx, const ActiveRequest &request);

/// Notes that the node gives up an answer. It is a slow one if it already took longer than that.
void noteTimeout(Context &ctx, const ActiveRequest &request);

/// The same for a stream whose server is silent, so that another one is asked to continue it.
void noteSilence(Context &ctx, const ActiveRequest &request, ServerCall &silent);

/// Decides which of the connections that broke are evidence.
void judgeBroken(State &state, ServiceRollout &rollout, const Now &now);

} // namespace chervil::relay::detail

#endif
