// One request that this node took and has not answered completely.
#ifndef CHERVIL_RELAY_ACTIVEREQUEST_H
#define CHERVIL_RELAY_ACTIVEREQUEST_H

#include "base/ResultCode.h"
#include "base/Time.h"
#include "relay/Configuration.h"
#include "relay/Effect.h"
#include "relay/EventSplitter.h"
#include "relay/RequestInfo.h"

#include <string>
#include <vector>

namespace chervil::relay {

enum class Stage : std::uint8_t {
  /// Waits for tokens of its workspace's limit.
  WaitingForTokens,
  /// Waits for a backend server.
  WaitingForServer,
  /// Sent; nothing has been passed on to the caller.
  Running,
  /// A part of the answer has been passed on.
  Streaming,
};

struct ActiveRequest {
  RequestId Id = 0;
  RequestInfo Info;
  /// Keeps the route alive; a later configuration does not change a request that was taken.
  ConfigurationPtr Configuration;
  const relay::Route *Route = nullptr;
  /// Name of the workspace; empty for an anonymous route.
  std::string Workspace;
  std::string Service;
  int Priority = 5;
  /// Tokens counted against the workspace's limit.
  double Cost = 0;

  TimePoint Arrived{};
  /// End of the caller's patience.
  TimePoint Deadline{};
  /// When the request is given up: the deadline or the route's timeout.
  TimePoint GiveUp{};

  relay::Stage Stage = Stage::WaitingForTokens;
  /// The present call; 0 if there is none.
  CallId Call = 0;
  std::string Backend;
  /// Prompt tokens that the server was expected to read.
  double PendingTokens = 0;
  TimePoint Sent{};
  /// When the first byte of an answer arrived; the epoch until then.
  TimePoint FirstByte{};
  /// Servers that the request was sent to.
  std::vector<std::string> TriedServers;
  /// Sends that a server did not say it rejected: each may have run.
  unsigned PossibleRuns = 0;
  /// Sends after the first.
  unsigned Retries = 0;
  /// Why the last send failed.
  ResultCode LastFailure = ResultCode::NoBackend;

  /// Head of the present call.
  int Status = 0;
  bool IsGenuine = false;
  bool GotFirstByte = false;
  /// Body of an answer that is passed on as a whole.
  std::string Body;
  EventSplitter Events;
  /// Id of the last event passed on.
  std::string LastEvent;
};

} // namespace chervil::relay

#endif
