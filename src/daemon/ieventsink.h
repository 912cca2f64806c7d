#ifndef CITRONPICK_DAEMON_IEVENTSINK_H
#define CITRONPICK_DAEMON_IEVENTSINK_H

#include "core/events.h"
#include "observability/event.h"

namespace citronpick::daemon
{

//! Receives events from the daemon's connections: inputs of the core and log events.
class IEventSink
{
public:
    virtual ~IEventSink() = default;

    //! Delivers \a event; events are handled in the order of the calls. Daemon handles them after
    //! the current callback has returned, RelayDaemon at once.
    virtual void post(core::Event event) = 0;
    //! Writes \a event to the log and, if the daemon keeps one, to the timeline.
    virtual void record(const observability::Event &event) = 0;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_IEVENTSINK_H
