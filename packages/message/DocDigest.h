// The document versions that the sender has. The receiver sends those documents of which it has a
// newer version and requests those of which the sender has a newer one.
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
