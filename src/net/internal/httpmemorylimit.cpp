#include "net/httpmemorylimit.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>
#include <utility>
#include <vector>

#include "net/heldbytes.h"
#include "net/internal/httpconnections.h"

namespace citronpick::net
{

namespace
{

//! Connections that hold less are never closed for room, and smaller bodies are not refused.
constexpr size_t smallShareBytes = 32U << 10U;
//! Part of the memory above which connections are closed. The rest is for what arrives until then.
constexpr double residentShare = 0.625;
//! In one turn of the event loop, H2O reads this many connections, and from each what its receive
//! buffer holds. The system doubles the size that is set.
constexpr size_t connectionsPerTurn = 256;
constexpr size_t turnBytesPart = 8;
constexpr size_t maxReceiveBufferBytes = 64U << 10U;

size_t receiveBufferFor(size_t memoryBytes)
{
    return std::min(maxReceiveBufferBytes, memoryBytes / turnBytesPart / connectionsPerTurn / 2);
}

//! Returning free memory to the system takes time where there are many free blocks.
constexpr model::Duration trimInterval = model::milliseconds(100);
constexpr model::Duration fruitlessTrimInterval = model::seconds(2);
//! A pass looks at all connections.
constexpr model::Duration passInterval = model::milliseconds(5);

// Zero if unknown.
size_t residentBytesNow()
{
#ifdef __SANITIZE_ADDRESS__
    // The sanitizer keeps what was freed.
    return 0;
#else
    static const int file = open("/proc/self/statm", O_RDONLY | O_CLOEXEC);
    static const auto pageBytes = static_cast<size_t>(sysconf(_SC_PAGESIZE));
    std::array<char, 128> text {};
    const ssize_t length = pread(file, text.data(), text.size(), 0);
    const char *end = text.data() + std::max<ssize_t>(length, 0);
    const char *resident = std::find(static_cast<const char *>(text.data()), end, ' ');
    size_t pages = 0;
    if (resident != end) {
        std::from_chars(resident + 1, end, pages);
    }
    return pages * pageBytes;
#endif
}

} // namespace

HttpMemoryLimit::HttpMemoryLimit(size_t memoryBytes)
    : m_maxResidentBytes(static_cast<size_t>(residentShare * static_cast<double>(memoryBytes)))
    , m_receiveBufferBytes(receiveBufferFor(memoryBytes))
    , m_connections(std::make_unique<internal::HttpConnections>())
{
}

HttpMemoryLimit::~HttpMemoryLimit() = default;

bool HttpMemoryLimit::hasRoomFor(size_t bodyBytes) const
{
    return bodyBytes <= smallShareBytes || residentBytesNow() + bodyBytes <= m_maxResidentBytes;
}

void HttpMemoryLimit::run(model::TimePoint now)
{
    m_residentBytes = residentBytesNow();
    if (m_residentBytes > m_maxResidentBytes && now >= m_nextTrim) {
        malloc_trim(0);
        const size_t before = std::exchange(m_residentBytes, residentBytesNow());
        const bool isFruitless = m_residentBytes + smallShareBytes > before;
        m_nextTrim = now + (isFruitless ? fruitlessTrimInterval : trimInterval);
    }
    if (m_residentBytes > m_maxResidentBytes && now >= m_nextPass) {
        m_nextPass = now + passInterval;
        closeConnections(now);
    }
}

void HttpMemoryLimit::closeConnections(model::TimePoint now)
{
    size_t closing = 0;
    std::vector<RoomCandidate> candidates;
    std::vector<internal::HttpConnection *> connections;
    m_connections->forEach([&](internal::HttpConnection &connection) {
        connection.update(now);
        const size_t bytes = connection.heldBytes();
        if (connection.isClosing) {
            closing += bytes;
        } else if (bytes > smallShareBytes) {
            candidates.push_back(
                {.id = connections.size(), .bytes = bytes, .age = now - connection.progressAt});
            connections.push_back(&connection);
        }
    });
    std::sort(candidates.begin(), candidates.end(), holdsMore);
    const size_t excess = m_residentBytes - m_maxResidentBytes;
    for (const RoomCandidate &candidate : candidates) {
        if (closing >= excess) {
            return;
        }
        closing += candidate.bytes;
        ++m_closedConnections;
        internal::HttpConnections::reset(*connections[candidate.id]);
    }
}

} // namespace citronpick::net
