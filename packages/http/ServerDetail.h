// What the files of the server share. Internal to it.
#ifndef CHERVIL_HTTP_SERVERDETAIL_H
#define CHERVIL_HTTP_SERVERDETAIL_H

#include "http/Server.h"
#include "http/ServerConnection.h"

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

// ServerEviction.cpp
/// Frees memory until the budget holds, or nothing may be evicted any more.
void evict(Server &server);

} // namespace detail
} // namespace chervil::http

#endif
