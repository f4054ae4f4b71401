// The limit that a backend server sets on the requests of all nodes together.
#ifndef CHERVIL_RELAY_REQUESTLIMIT_H
#define CHERVIL_RELAY_REQUESTLIMIT_H

#include "base/Time.h"

#include <cstdint>
#include <optional>

namespace chervil::relay {

/// What one answer of a server says about its limit.
struct StatedLimit {
  enum class Kind : std::uint8_t {
    /// The answer says nothing about the limit: the statement is no rate, or the answer may not be
    /// the server's.
    Unknown,
    Unlimited,
    Limited,
  };
  Kind Type = Kind::Unknown;
  /// Requests per second, finite and not negative. Only for Limited.
  double PerSecond = 0;
};

/// Where a statement about a server comes from.
enum class NoticeSource : std::uint8_t {
  /// The server said it in an answer to this node.
  Answer,
  /// Another node passed it on.
  Peer,
};

/// The newest statement of a server about its limit that a node knows of. It belongs to one start
/// of the server.
struct RequestLimit {
  /// Requests per second of all nodes together; empty if the server no longer states a limit.
  std::optional<double> PerSecond;
  /// When the answer with the statement arrived at the node that received it.
  TimePoint StatedAt{};
  NoticeSource Source = NoticeSource::Answer;
};

} // namespace chervil::relay

#endif
