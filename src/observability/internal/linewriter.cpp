#include "observability/internal/linewriter.h"

#include <algorithm>
#include <climits>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace citronpick::observability
{

LineWriter::LineWriter(int descriptor, size_t capacity)
    : m_descriptor(descriptor)
    , m_capacity(capacity)
{
}

void LineWriter::add(std::string_view line)
{
    if (m_held.size() + line.size() > m_capacity) {
        ++m_dropped;
        return;
    }
    m_held.append(line);
}

// The descriptor may be shared with other processes, so it is not made non-blocking. A pipe that is
// ready for writing takes PIPE_BUF bytes without blocking; files and terminals take them as well.
void LineWriter::flush()
{
    size_t written = 0;
    while (written < m_held.size()) {
        pollfd ready {.fd = m_descriptor, .events = POLLOUT, .revents = 0};
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
            break;
        }
        const size_t part = std::min<size_t>(PIPE_BUF, m_held.size() - written);
        const ssize_t count = write(m_descriptor, m_held.data() + written, part);
        if (count <= 0) {
            break;
        }
        written += static_cast<size_t>(count);
    }
    m_held.erase(0, written);
}

uint64_t LineWriter::takeDropped()
{
    return std::exchange(m_dropped, 0);
}

} // namespace citronpick::observability
