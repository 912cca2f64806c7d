#ifndef CITRONPICK_NET_INTERNAL_RESPONSELINES_H
#define CITRONPICK_NET_INTERNAL_RESPONSELINES_H

#include <string>
#include <string_view>

namespace citronpick::net::internal
{

//! Checks the lines of response heads and trailers, which http_parser takes too leniently.
class ResponseLines
{
public:
    void beginHead();
    void beginTrailer();
    void beginBody();

    //! The beginning of \a bytes, up to the end of the current line; all of them within a body.
    std::string_view nextPiece(std::string_view bytes) const;

    //! Must be called with each piece, in order. Returns false if no response has such a line.
    bool accept(std::string_view piece);

private:
    bool isStatusLineValid() const;

    enum class Section {
        StatusLine,
        Fields,
        Body,
    };

    Section m_section = Section::StatusLine;
    bool m_isAtLineStart = true;
    std::string m_statusLine; //!< Up to the end of the status.
};

} // namespace citronpick::net::internal

#endif // CITRONPICK_NET_INTERNAL_RESPONSELINES_H
