#include "daemon/internal/eventdetector.h"

namespace citronpick::daemon
{

bool EventDetector::feed(std::string_view bytes)
{
    bool hasEvent = false;
    for (const char character : bytes) {
        if (character == '\n') {
            if (m_isLineEmpty) {
                hasEvent = hasEvent || m_hasField;
                m_hasField = false;
            }
            m_isLineEmpty = true;
        } else if (character != '\r' && m_isLineEmpty) {
            m_isLineEmpty = false;
            m_hasField = m_hasField || character != ':';
        }
    }
    m_hadEvent = m_hadEvent || hasEvent;
    return hasEvent;
}

} // namespace citronpick::daemon
