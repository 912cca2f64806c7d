#include "observability/internal/linewriter.h"

#include <algorithm>
#include <climits>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace citronpick::observability
{

LineWriter::LineWriter(int descriptor, size_t capacityBytes)
    : m_descriptor(descriptor)
    , m_capacityBytes(capacityBytes)
{
}

void LineWriter::add(std::string_view line)
{
    if (m_buffer.size() + line.size() > m_capacityBytes) {
        ++m_dropped;
        return;
    }
    m_buffer.append(line);
}

// The descriptor may be shared with other processes, so it is not set to non-blocking mode. A pipe
// that poll() reports as writable accepts PIPE_BUF bytes without blocking, and so do files and
// terminals.
void LineWriter::flush()
{
    size_t written = 0;
    while (written < m_buffer.size()) {
        pollfd pollEntry {.fd = m_descriptor, .events = POLLOUT, .revents = 0};
        if (poll(&pollEntry, 1, 0) != 1 || (pollEntry.revents & POLLOUT) == 0) {
            break;
        }
        const size_t chunkSize = std::min<size_t>(PIPE_BUF, m_buffer.size() - written);
        const ssize_t count = write(m_descriptor, m_buffer.data() + written, chunkSize);
        if (count <= 0) {
            break;
        }
        written += static_cast<size_t>(count);
    }
    m_buffer.erase(0, written);
}

uint64_t LineWriter::takeDropped()
{
    return std::exchange(m_dropped, 0);
}

} // namespace citronpick::observability
