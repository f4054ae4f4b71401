// Asks for whole documents by name.
#ifndef CHERVIL_MESSAGE_DOCREQUEST_H
#define CHERVIL_MESSAGE_DOCREQUEST_H

#include <string>
#include <vector>

namespace chervil::message {

struct DocRequest {
  std::vector<std::string> Names;
};

} // namespace chervil::message

#endif
