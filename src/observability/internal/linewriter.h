#ifndef CITRONPICK_OBSERVABILITY_INTERNAL_LINEWRITER_H
#define CITRONPICK_OBSERVABILITY_INTERNAL_LINEWRITER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace citronpick::observability
{

/*!
 * Writes lines to a file descriptor without blocking on a slow reader.
 *
 * Lines are buffered until flush() can write them. A line that does not fit into the buffer is
 * dropped as a whole and counted.
 */
class LineWriter
{
public:
    LineWriter(int descriptor, size_t capacityBytes);

    //! Buffers a line, which must end with a line break.
    void add(std::string_view line);
    //! Writes as much as the descriptor accepts without blocking.
    void flush();

    //! Number of lines dropped since the last call.
    uint64_t takeDropped();
    size_t bufferedBytes() const
    {
        return m_buffer.size();
    }

private:
    int m_descriptor;
    size_t m_capacityBytes;
    std::string m_buffer;
    uint64_t m_dropped = 0;
};

} // namespace citronpick::observability

#endif // CITRONPICK_OBSERVABILITY_INTERNAL_LINEWRITER_H
