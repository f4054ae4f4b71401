// The JSON form of a refusal (docs/design.md, section 14).
#ifndef CHERVIL_DAEMON_REFUSAL_H
#define CHERVIL_DAEMON_REFUSAL_H

#include "base/Error.h"
#include "net/HttpServer.h"
#include "node/CallerEffects.h"

#include <string>

namespace chervil::daemon {

/// The body of a refusal.
std::string refusalJson(const node::Refuse &refusal, std::string_view message = {});

/// A whole response, with Retry-After when the request may succeed later.
net::HttpResponse refusalResponse(const node::Refuse &refusal, std::string_view message = {});

/// A refusal that needs no state: the request itself is wrong.
net::HttpResponse refusalResponse(const Error &error);

} // namespace chervil::daemon

#endif
