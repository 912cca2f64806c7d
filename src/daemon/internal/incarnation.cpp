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

// A later start of the same daemon has to draw a higher number, without any state that lasts:
// the time of day gives the order, the random part tells two starts in one moment apart.
model::Incarnation drawIncarnation()
{
    std::random_device device;
    constexpr uint64_t randomRange = 1000;
    const auto milliseconds = static_cast<uint64_t>(wallMicroseconds()) / 1000;
    return model::Incarnation(milliseconds * randomRange + device() % randomRange);
}

} // namespace citronpick::daemon
