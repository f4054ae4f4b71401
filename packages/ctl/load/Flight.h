// One request of a load run on its way: the calls made for it and the answer so far.
#ifndef CHERVIL_CTL_LOAD_FLIGHT_H
#define CHERVIL_CTL_LOAD_FLIGHT_H

#include "ctl/load/CallerStep.h"
#include "ctl/load/Generator.h"
#include "ctl/load/LoadRecord.h"
#include "ctl/load/SseParser.h"

#include <string>
#include <vector>

namespace chervil::load {

struct Flight {
  LoadRequest Request;
  CallerState State;
  LoadRecord Record;
  /// When the request was due, which is earlier than its sending when the tool is late.
  TimePoint Due;
  TimePoint LastToken;
  bool FirstSeen = false;
  /// Answer so far, over all calls.
  std::string Text;
  /// Id of the last event, where a resumed stream continues.
  std::string Offset = "0";
  /// The call under way.
  std::string Address;
  CallEnd End;
  bool IsStream = false;
  SseParser Events;
  std::string Body;
  /// Addresses named by `event: moved`.
  std::vector<std::string> MovedTo;
};

/// Prepares the next call.
void beginCall(Flight &flight, bool fetch, bool fromBeginning, std::string address);

/// Status and headers (names in lower case) of the call.
void takeHead(Flight &flight, int status,
              const std::vector<std::pair<std::string, std::string>> &headers);

/// Bytes of the call. Returns the number of token events among them.
std::size_t takeBytes(Flight &flight, std::string_view bytes);

/// Completes flight.End. With `direct`, a refusal of an engine means that the request did not run.
void takeEnd(Flight &flight, net::HttpFailure failure, bool direct);

/// Checks a whole answer.
LoadOutcome checkAnswer(const Flight &flight, bool service);

} // namespace chervil::load

#endif
