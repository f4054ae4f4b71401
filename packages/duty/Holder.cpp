#include "duty/Holder.h"

#include <sstream>

namespace chervil::duty {

std::string formatHolder(const Holder &holder) {
  return holder.Node + " " + std::to_string(holder.Incarnation) + " " + holder.PeerAddress;
}

std::optional<Holder> parseHolder(std::string_view value) {
  std::istringstream in{std::string(value)};
  Holder out;
  if (!(in >> out.Node >> out.Incarnation >> out.PeerAddress))
    return std::nullopt;
  return out;
}

std::string formatLastHolder(const LastHolder &holder) {
  return holder.Node + " " + std::to_string(holder.Era);
}

LastHolder parseLastHolder(std::string_view value) {
  std::istringstream in{std::string(value)};
  LastHolder out;
  in >> out.Node >> out.Era;
  return out;
}

} // namespace chervil::duty
