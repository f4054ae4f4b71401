// What the files of the server share. Internal to it.
#ifndef CHERVIL_HTTP_SERVERDETAIL_H
#define CHERVIL_HTTP_SERVERDETAIL_H

#include "http/Server.h"
#include "http/ServerConnection.h"
#include "limits/WorkShare.h"

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace chervil::http {

struct Server {
  net::Loop *Loop = nullptr;
  net::TimerService *Timers = nullptr;
  ServerOptions Options;
  ServerEvents Events;
  int Fd = -1;
  ev_io Accept{};
  net::TimerId Sweep = 0;
  bool Draining = false;
  std::uint64_t NextId = 1;
  std::unordered_map<detail::Connection *, std::unique_ptr<detail::Connection>> Connections;
  std::unordered_map<std::uint64_t, detail::Connection *> Requests;
  std::unordered_map<std::string, std::size_t> ConnectionsByAddress;
  bool AcceptPaused = false;
  /// Connections whose large requests wait to be read, the longest waiting first.
  std::deque<detail::Connection *> BulkReads;
  limits::WorkShare BulkShare;
  /// Active while BulkReads is not empty: reads when there is no other event, or within BulkShare.
  ev_idle BulkIdle{};
  ev_check BulkCheck{};
};

namespace detail {

inline TimePoint now() { return net::readNow().Steady; }

// Server.cpp
void onReadable(Connection &c);
void onWritable(Connection &c);
/// Reports to the memory budget what the connection holds now.
void charge(Connection &c);
/// Tells why a client is turned away.
void noteShed(const Connection &c, Shed reason);
/// Removes the connection; reports the caller as gone if its request is not answered.
void drop(Connection &c);
/// Refuses a request that does not fit into the memory budget. It has not run.
void rejectForMemory(Connection &c, Shed reason);

// ServerAccept.cpp
/// Accepts the connections that wait, unless there are too many.
void acceptWaiting(Server &server);
/// Accepts again after a pause.
void resumeAccepting(Server &server);

// ServerBulkReads.cpp
void initBulkReads(Server &server);
/// The socket of the connection has bytes: reads them, now or when it is the connection's turn.
void onReadEvent(Connection &c);
/// The connection is going to be removed.
void forgetBulkRead(Connection &c);

// ServerEviction.cpp
/// Frees memory until the budget holds, or nothing may be evicted any more.
void evict(Server &server);

} // namespace detail
} // namespace chervil::http

#endif
