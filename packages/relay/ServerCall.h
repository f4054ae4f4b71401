// One call of a request to a backend server.
#ifndef CHERVIL_RELAY_SERVERCALL_H
#define CHERVIL_RELAY_SERVERCALL_H

#include "base/Time.h"
#include "relay/Backends.h"
#include "relay/Effect.h"
#include "relay/EventProgress.h"
#include "relay/EventSplitter.h"

#include <string>

namespace chervil::relay {

/// Once the call has ended, its id is 0, and the rest tells about the last call.
struct ServerCall {
  CallId Id = 0;
  /// Id of the server.
  std::string Backend;
  /// Version of the server. Empty unless Options::Rollouts is set.
  std::string Version;
  /// Prompt tokens that the server was expected to read.
  double PendingTokens = 0;
  /// The estimates that the server was chosen by.
  ChoiceFigures Figures;
  TimePoint Sent{};

  /// Status of the answer; 0 until its head arrives.
  int Status = 0;
  /// See BackendHead::IsGenuine.
  bool IsGenuine = false;
  /// When the head of the answer arrived; the epoch until then.
  TimePoint AnswerBegan{};
  /// The answer has gone on long enough to show that its prompt does not crash servers.
  bool AnswerWentOn = false;
  /// The first byte of the body has arrived.
  bool GotFirstByte = false;
  TimePoint FirstByteAt{};
  /// Body received so far, if the answer is not streamed.
  std::string Body;
  /// Splits the stream into events.
  EventSplitter Events;
  /// How far the stream has come, and when it last made progress.
  EventProgress Progress;
  TimePoint LastProgress{};
  /// Number of the events, and when the first and the last of them arrived.
  unsigned EventCount = 0;
  TimePoint FirstEventAt{};
  TimePoint LastEventAt{};
  /// A silence of the server was noted as a slow answer, so that the end of the call is not noted.
  bool IsNotedSlow = false;
  /// Events since EventsSince, which is the epoch before the first one.
  unsigned TimedEvents = 0;
  TimePoint EventsSince{};
};

} // namespace chervil::relay

#endif
