// The versions the sender has; the receiver sends newer documents and requests those it lacks.
#ifndef CHERVIL_MESSAGE_DOCDIGEST_H
#define CHERVIL_MESSAGE_DOCDIGEST_H

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::message {

struct DocVersion {
  std::string Name;
  std::uint64_t Version = 0;
};

struct DocDigest {
  std::vector<DocVersion> Versions;
};

} // namespace chervil::message

#endif
