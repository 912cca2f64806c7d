#ifndef CITRONPICK_RELAY_PROMPTWORK_H
#define CITRONPICK_RELAY_PROMPTWORK_H

#include <cstdint>

namespace citronpick::relay
{

//! Work of an engine until the first event of a request, in prompt tokens. Besides the prompt, the
//! request costs a step of the engine and two network delays, about as much as 300 prompt tokens.
constexpr double promptWork(uint64_t tokens)
{
    constexpr double fixedWork = 300.0;
    return fixedWork + static_cast<double>(tokens);
}

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_PROMPTWORK_H
