#ifndef CITRONPICK_DAEMON_INTERNAL_EVENTSPLITTER_H
#define CITRONPICK_DAEMON_INTERNAL_EVENTSPLITTER_H

#include <string>
#include <string_view>

namespace citronpick::daemon
{

//! Splits an event stream (text/event-stream) so that only complete events are passed on.
class EventSplitter
{
public:
    //! Appends \a bytes and returns all complete events that have not been returned yet.
    std::string feed(std::string_view bytes);

    //! Bytes received after the last complete event.
    const std::string &partialEvent() const
    {
        return m_partialEvent;
    }
    //! Id of the last complete event that has an id; empty if there was none.
    const std::string &lastEventId() const
    {
        return m_lastEventId;
    }

private:
    void updateLastEventId(std::string_view events);

    std::string m_partialEvent;
    std::string m_lastEventId;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_EVENTSPLITTER_H
