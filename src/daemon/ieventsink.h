#ifndef CITRONPICK_DAEMON_IEVENTSINK_H
#define CITRONPICK_DAEMON_IEVENTSINK_H

#include "core/events.h"
#include "observability/event.h"

namespace citronpick::daemon
{

//! Takes what the daemon's connections have learned to the core.
class IEventSink
{
public:
    virtual ~IEventSink() = default;

    //! Handled after the present callback, in order.
    virtual void post(core::Event event) = 0;
    //! Written to the log and the time line.
    virtual void record(const observability::Event &event) = 0;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_IEVENTSINK_H
