#ifndef CITRONPICK_DAEMON_INTERNAL_EVENTDETECTOR_H
#define CITRONPICK_DAEMON_INTERNAL_EVENTDETECTOR_H

#include <string_view>

namespace citronpick::daemon
{

//! Detects the ends of events in a text/event-stream. Comments are not events.
class EventDetector
{
public:
    //! Returns true if at least one event ends within \a bytes.
    bool feed(std::string_view bytes);

    //! True if at least one event has ended and none has begun since.
    bool isBehindEvent() const
    {
        return m_hadEvent && !m_hasField && m_isLineEmpty;
    }

private:
    bool m_hadEvent = false;
    bool m_isLineEmpty = true; //!< The current line has no characters yet.
    bool m_hasField = false; //!< The current event has a line that is not a comment.
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_EVENTDETECTOR_H
