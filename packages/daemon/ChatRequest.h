// Reads the body of POST /v1/chat/completions. Use:
//   Result<node::CallerRequest> r = parseChatRequest(body);
#ifndef CHERVIL_DAEMON_CHATREQUEST_H
#define CHERVIL_DAEMON_CHATREQUEST_H

#include "base/Error.h"
#include "node/BackendEvents.h"
#include "node/CallerEvents.h"
#include "node/SystemEffects.h"

#include <string>
#include <string_view>

namespace chervil::daemon {

/// Fills the specification, the prefix hashes and the prompt length. Errors: BadJson for text that
/// is not JSON, BadRequest for a field that is missing, of the wrong type or out of range.
Result<node::CallerRequest> parseChatRequest(std::string_view body);

/// The body to send to an engine: the caller's, always streamed, with identifier, priority and the
/// point from which to continue.
std::string engineBody(const node::CallBackend &call);

} // namespace chervil::daemon

#endif
