#ifndef CITRONPICK_OBSERVABILITY_INTERNAL_LINEWRITER_H
#define CITRONPICK_OBSERVABILITY_INTERNAL_LINEWRITER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace citronpick::observability
{

/*!
 * Writes lines to a descriptor without ever waiting for its reader.
 *
 * Lines are held until flush(), and beyond that while the reader is slow; those that do not fit any
 * more are dropped whole and counted.
 */
class LineWriter
{
public:
    LineWriter(int descriptor, size_t capacity);

    //! Takes a line with its line end.
    void add(std::string_view line);
    //! Writes as much as the descriptor takes at once.
    void flush();

    //! Lines dropped since the last call.
    uint64_t takeDropped();
    size_t heldBytes() const
    {
        return m_held.size();
    }

private:
    int m_descriptor;
    size_t m_capacity;
    std::string m_held;
    uint64_t m_dropped = 0;
};

} // namespace citronpick::observability

#endif // CITRONPICK_OBSERVABILITY_INTERNAL_LINEWRITER_H
