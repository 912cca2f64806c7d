#include "daemon/internal/incarnation.h"

#include <chrono>
#include <random>

namespace citronpick::daemon
{

int64_t wallMicroseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
}

// A later start of the same daemon must get a higher number, although the daemon stores no state on
// disk: the wall-clock time orders the starts, and the random part distinguishes two starts within
// the same millisecond.
model::Incarnation generateIncarnation()
{
    std::random_device device;
    constexpr uint64_t randomRange = 1000;
    const auto milliseconds = static_cast<uint64_t>(wallMicroseconds()) / 1000;
    return model::Incarnation(milliseconds * randomRange + device() % randomRange);
}

} // namespace citronpick::daemon
