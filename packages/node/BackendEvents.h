// Events of calls to back ends. `Call` is the number given in the CallBackend effect.
#ifndef CHERVIL_NODE_BACKENDEVENTS_H
#define CHERVIL_NODE_BACKENDEVENTS_H

#include <chrono>
#include <cstdint>
#include <string>

namespace chervil::node {

/// Status and content type of the answer.
struct BackendHead {
  std::uint64_t Call = 0;
  std::uint16_t Status = 0;
  std::string ContentType;
};

/// Part of the answer: generated text, or part of the body of a service's answer.
struct BackendBytes {
  std::uint64_t Call = 0;
  std::string Bytes;
  /// Number of tokens in Bytes.
  std::uint32_t Tokens = 0;
};

/// How a call to a back end failed.
enum class BackendFailure : std::uint8_t {
  /// The call did not fail.
  None,
  /// The request was not sent.
  NotSent,
  /// The connection ended before the answer was complete.
  Died,
  /// The call exceeded its time-out.
  Timeout,
  /// The back end refused to run the request because it was busy or loading; the request did not
  /// run.
  Refused,
  /// The back end rejected the request as invalid; any other back end would reject it too.
  Rejected,
};

/// End of a call, successful if Failure is None.
struct BackendEnd {
  std::uint64_t Call = 0;
  BackendFailure Failure = BackendFailure::None;
  std::uint16_t Status = 0;
  std::string Detail;
};

/// Answer to ExportKv; the handle is empty if the export failed.
struct KvExported {
  std::uint64_t Call = 0;
  std::string Handle;
};

/// Load that a back end reported with an answer, in requests.
struct BackendLoad {
  std::string Backend;
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  /// Time since the back end measured the load.
  std::chrono::milliseconds Age{0};
};

} // namespace chervil::node

#endif
