// A complete document with its version.
#ifndef CHERVIL_MESSAGE_DOCUPDATE_H
#define CHERVIL_MESSAGE_DOCUPDATE_H

#include <cstdint>
#include <string>

namespace chervil::message {

struct DocUpdate {
  std::string Name;
  std::uint64_t Version = 0;
  std::string Body;
};

} // namespace chervil::message

#endif
