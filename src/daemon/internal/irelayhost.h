#ifndef CITRONPICK_DAEMON_INTERNAL_IRELAYHOST_H
#define CITRONPICK_DAEMON_INTERNAL_IRELAYHOST_H

#include "observability/event.h"

namespace citronpick::daemon
{

//! What the parts of a relaying daemon ask of it.
class IRelayHost
{
public:
    virtual ~IRelayHost() = default;

    //! Carries out what the relay system has decided; to be called after each event.
    virtual void execute() = 0;
    virtual void record(const observability::Event &event) = 0;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_IRELAYHOST_H
