// What must hold for any bytes that the readers of http/Reader.h are given. The fuzz targets and
// the test of the corpus use the same entry points. Use:
//   if (const std::string fault = checkRequests(bytes); !fault.empty()) std::abort();
#ifndef CHERVIL_HTTP_FUZZ_READERPROPERTIES_H
#define CHERVIL_HTTP_FUZZ_READERPROPERTIES_H

#include <string>
#include <string_view>

namespace chervil::http::fuzz {

/// Reads the bytes as pipelined requests of a client, whole, byte by byte and cut in two. Returns
/// the property that does not hold; empty if all do.
std::string checkRequests(std::string_view bytes);

/// The same for responses of a server, after which the connection ends.
std::string checkResponses(std::string_view bytes);

} // namespace chervil::http::fuzz

#endif
