// State of a member of the node fleet, in the order in which one incarnation passes through it.
#ifndef CHERVIL_MESSAGE_MEMBERSTATE_H
#define CHERVIL_MESSAGE_MEMBERSTATE_H

#include <cstdint>

namespace chervil::message {

enum class MemberState : std::uint8_t { Alive, Suspect, Leaving, Dead };

} // namespace chervil::message

#endif
