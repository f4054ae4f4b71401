// What happens on a call to a back end. `Call` is the number given in the CallBackend effect.
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

/// Part of the answer: generated text, or bytes of a service's body.
struct BackendBytes {
  std::uint64_t Call = 0;
  std::string Bytes;
  std::uint32_t Tokens = 0;
};

enum class BackendFailure : std::uint8_t {
  None,
  /// Nothing was sent.
  NotSent,
  /// The connection ended before the answer did.
  Died,
  Timeout,
  /// The back end refused to run the request (busy, loading); it did not run.
  Refused,
  /// The back end rejected the request itself; another back end would too.
  Rejected,
};

struct BackendEnd {
  std::uint64_t Call = 0;
  BackendFailure Failure = BackendFailure::None;
  std::uint16_t Status = 0;
  std::string Detail;
};

/// Answer to ExportKv; the handle is empty when the export failed.
struct KvExported {
  std::uint64_t Call = 0;
  std::string Handle;
};

/// Load that a back end reported with an answer.
struct BackendLoad {
  std::string Backend;
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  std::chrono::milliseconds Age{0};
};

} // namespace chervil::node

#endif
