#ifndef CITRONPICK_DAEMON_INTERNAL_IRELAYHOST_H
#define CITRONPICK_DAEMON_INTERNAL_IRELAYHOST_H

#include "observability/event.h"

namespace citronpick::daemon
{

//! Interface through which the components of a RelayDaemon call back into it.
class IRelayHost
{
public:
    virtual ~IRelayHost() = default;

    //! Executes the pending commands of the relay system. Must be called after each event passed to
    //! the relay system.
    virtual void execute() = 0;
    //! Ends the requests whose callers have left. Must be called before an event that may start
    //! queued work, as the event loop may not have reported the end of their connections yet.
    virtual void endDepartedCallers() = 0;
    virtual void record(const observability::Event &event) = 0;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_IRELAYHOST_H
