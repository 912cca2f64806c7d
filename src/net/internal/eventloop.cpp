#include "net/eventloop.h"

#include <csignal>
#include <ctime>

#include "net/internal/h2o.h"

namespace citronpick::net
{

EventLoop::EventLoop()
    : m_loop(h2o_evloop_create())
{
    // Writing to a connection that the peer has closed must not terminate the process.
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
}

// H2O queues the callback of a write that completes at once, and expects the queue to be empty when
// a turn begins: the turn would poll the socket for a write that has ended, and frees closed
// sockets that are still queued. Its timers empty the queue with this function after each callback.
// Writes and closes since the last turn need the same.
void EventLoop::runOnce(model::Duration wait)
{
    h2o_timeout__do_post_callback(m_loop);
    h2o_evloop_run(m_loop, static_cast<int32_t>(model::toMilliseconds(wait)));
}

model::WallTime EventLoop::wallTime()
{
    return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

model::TimePoint EventLoop::now()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    constexpr int64_t nanosecondsPerMicrosecond = 1000;
    constexpr int64_t microsecondsPerSecond = 1000000;
    return model::TimePoint(model::Duration(time.tv_sec * microsecondsPerSecond
                                            + time.tv_nsec / nanosecondsPerMicrosecond));
}

} // namespace citronpick::net
