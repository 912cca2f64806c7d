#ifndef CITRONPICK_NET_EVENTLOOP_H
#define CITRONPICK_NET_EVENTLOOP_H

#include <memory>

#include "model/time.h"

struct st_h2o_evloop_t;

namespace citronpick::net
{

//! Event loop. A process has only one.
class EventLoop
{
public:
    EventLoop();
    // H2O has no function that destroys an event loop; it lives until the process exits.
    ~EventLoop() = default;

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    //! Handles pending events; if there are none, waits for them for at most \a wait. Sockets may
    //! be written to and closed between the turns as well.
    void runOnce(model::Duration wait);

    st_h2o_evloop_t *handle() const
    {
        return m_loop;
    }

    //! Time of the monotonic clock, which keeps counting while the system is suspended.
    static model::TimePoint now();
    static model::WallTime wallTime();

private:
    st_h2o_evloop_t *m_loop;
};

} // namespace citronpick::net

#endif // CITRONPICK_NET_EVENTLOOP_H
