// Sockets and a loop for tests of the HTTP server and client.
#ifndef CHERVIL_HTTP_TESTNET_H
#define CHERVIL_HTTP_TESTNET_H

#include "http/Client.h"
#include "http/Server.h"
#include "net/TestNet.h"

namespace chervil::http::test {

using namespace net::test;

} // namespace chervil::http::test

#endif
