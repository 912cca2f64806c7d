#ifndef CITRONPICK_DAEMON_INTERNAL_EVENTSPLITTER_H
#define CITRONPICK_DAEMON_INTERNAL_EVENTSPLITTER_H

#include <string>
#include <string_view>

namespace citronpick::daemon
{

//! Cuts an event stream (text/event-stream) behind whole events.
class EventSplitter
{
public:
    //! The bytes up to the end of the last whole event that are not given yet.
    std::string feed(std::string_view bytes);

    //! What follows the last whole event.
    const std::string &rest() const
    {
        return m_partial;
    }
    //! Id of the last whole event that has one; empty at first.
    const std::string &lastEvent() const
    {
        return m_lastEvent;
    }

private:
    void noteIds(std::string_view events);

    std::string m_partial;
    std::string m_lastEvent;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_EVENTSPLITTER_H
