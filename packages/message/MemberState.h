// State of a member of the node fleet. The order of the values is the order in which one
// incarnation passes through the states.
#ifndef CHERVIL_MESSAGE_MEMBERSTATE_H
#define CHERVIL_MESSAGE_MEMBERSTATE_H

#include <cstdint>

namespace chervil::message {

enum class MemberState : std::uint8_t { Alive, Suspect, Leaving, Dead };

} // namespace chervil::message

#endif
