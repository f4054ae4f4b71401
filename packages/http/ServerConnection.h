// A connection of a client. Internal to the server.
#ifndef CHERVIL_HTTP_SERVERCONNECTION_H
#define CHERVIL_HTTP_SERVERCONNECTION_H

#include "base/Time.h"
#include "http/Reader.h"
#include "http/Server.h"

#include <cstdint>
#include <ev.h>
#include <memory>
#include <string>

namespace chervil::http::detail {

enum class Phase : std::uint8_t {
  /// Waiting for the first byte of a request.
  Idle,
  Reading,
  /// A request was handed on and is not completely answered.
  Serving,
  /// Everything is written and our side is shut; waits for the caller to close.
  Lingering,
};

struct Connection {
  Server *Owner = nullptr;
  int Fd = -1;
  ev_io ReadWatcher{};
  ev_io WriteWatcher{};
  Phase State = Phase::Idle;
  std::uint64_t Id = 0;
  std::unique_ptr<RequestReader> Reader;
  std::string In;
  std::string Out;
  std::size_t OutAt = 0;
  /// Since the present phase, or the last byte of a body.
  TimePoint Since{};
  TimePoint Started{};
  /// When the client last took bytes of the response, or the response was given.
  TimePoint Wrote{};
  /// IP address of the client.
  std::string Address;
  /// Bytes of the request that is being served.
  std::uint64_t RequestBytes = 0;
  /// What the memory budget counts for this connection.
  std::uint64_t ChargedRequest = 0;
  std::uint64_t ChargedResponse = 0;
  /// Bytes of the request that is being read, with its framing.
  std::uint64_t RequestWireBytes = 0;
  bool CloseAfter = false;
  bool Answered = false;
  bool Broken = false;
  bool ReadPaused = false;
  /// Waits in Server::BulkReads for its turn to be read.
  bool BulkQueued = false;
};

inline bool hasOutput(const Connection &c) { return c.OutAt < c.Out.size(); }

} // namespace chervil::http::detail

#endif
