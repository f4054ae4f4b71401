// Requests documents by name; answered by DocUpdate messages.
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
