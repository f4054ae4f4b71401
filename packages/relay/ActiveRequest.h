// A request that this node accepted and has not answered completely.
#ifndef CHERVIL_RELAY_ACTIVEREQUEST_H
#define CHERVIL_RELAY_ACTIVEREQUEST_H

#include "base/ResultCode.h"
#include "base/Time.h"
#include "relay/Configuration.h"
#include "relay/Effect.h"
#include "relay/RequestInfo.h"
#include "relay/ServerCall.h"
#include "relay/VersionUse.h"

#include <optional>
#include <string>
#include <vector>

namespace chervil::relay {

/// Progress of a request.
enum class Stage : std::uint8_t {
  /// Waits for tokens of the rate limit of its workspace.
  WaitingForTokens,
  /// Waits for a backend server.
  WaitingForServer,
  /// Sent to a server; nothing has been forwarded to the caller yet.
  Running,
  /// Part of the answer has been forwarded to the caller.
  Streaming,
};

/// State of one request, from its admission to the end of its answer.
struct ActiveRequest {
  RequestId Id = 0;
  RequestInfo Info;
  /// The configuration in force when the request was accepted. It owns the route; later
  /// configurations do not affect the request.
  ConfigurationPtr Configuration;
  const relay::Route *Route = nullptr;
  /// Name of the workspace; empty for an anonymous route.
  std::string Workspace;
  std::string Service;
  /// 0 is the highest.
  int Priority = 5;
  /// Tokens or requests charged to the rate limit of the workspace.
  double Cost = 0;

  /// When the caller's first byte arrived.
  TimePoint Arrived{};
  /// When the caller stops waiting.
  TimePoint Deadline{};
  /// When the node stops trying: the deadline or the timeout of the route, whichever comes first.
  TimePoint GiveUp{};

  relay::Stage Stage = Stage::WaitingForTokens;
  /// The current call to a server, or the last one.
  ServerCall Call;
  /// The silent call of a stream while the current one asks another server to continue it. It is
  /// given up when that server has taken the request, and becomes the current call again if that
  /// server fails.
  std::optional<ServerCall> SilentCall;
  /// Number of the claim to send it to a server with a limit; 0 if none is pending.
  std::uint64_t SendClaim = 0;
  /// Claims denied since servers were last considered for it.
  unsigned DeniedClaims = 0;
  /// It was sent before, and the retry budget covers the next send.
  bool IsRetrying = false;
  /// When the first byte of any answer arrived; the epoch until then.
  TimePoint FirstByte{};
  /// Ids of the servers to which the request was sent.
  std::vector<std::string> TriedServers;
  /// Sends that were not rejected by the server: each of them may have run.
  unsigned PossibleRuns = 0;
  /// Sends after the first.
  unsigned Retries = 0;
  /// Why the last send failed.
  ResultCode LastFailure = ResultCode::NoBackend;

  /// It is quarantined and sent to find out whether it still crashes its server.
  bool IsProbe = false;
  /// While its server is silent: another one is not looked for before this time.
  TimePoint NextMove{};
  /// Id of the last event forwarded to the caller.
  std::string LastEvent;
  /// Events of its stream that have arrived, over all its calls.
  std::uint32_t Events = 0;
  /// Since when they are more than those after which a server crashed under the same content; the
  /// epoch if they aren't.
  TimePoint PassedCrashes{};
  /// Its part in the rollout of the service.
  VersionUse Versions;
};

} // namespace chervil::relay

#endif
