#include "net/internal/responselines.h"

#include <algorithm>

#include <absl/strings/ascii.h>

namespace citronpick::net::internal
{

namespace
{

constexpr std::string_view protocol = "HTTP/1.";
//! Bytes of "HTTP/1.1 200" and of the blank or the line end that follows.
constexpr size_t statusLineBytes = 13;

bool isDigit(char character)
{
    return absl::ascii_isdigit(static_cast<unsigned char>(character));
}

bool isLineEnd(char character)
{
    return character == '\r' || character == '\n';
}

} // namespace

void ResponseLines::beginHead()
{
    m_section = Section::StatusLine;
    m_isAtLineStart = true;
    m_statusLine.clear();
}

void ResponseLines::beginTrailer()
{
    m_section = Section::Fields;
    m_isAtLineStart = true;
}

void ResponseLines::beginBody()
{
    m_section = Section::Body;
}

std::string_view ResponseLines::nextPiece(std::string_view bytes) const
{
    const size_t end = m_section == Section::Body ? std::string_view::npos : bytes.find('\n');
    return end == std::string_view::npos ? bytes : bytes.substr(0, end + 1);
}

bool ResponseLines::accept(std::string_view piece)
{
    if (m_section == Section::Body || piece.empty()) {
        return true;
    }
    // A line that begins with a blank continues the field before it or is a field of its own,
    // depending on who reads it. RFC 9112 lets a gateway discard the response.
    const bool isBlankFirst = piece.front() == ' ' || piece.front() == '\t';
    if (m_isAtLineStart && isBlankFirst) {
        return false;
    }
    m_isAtLineStart = piece.back() == '\n';
    if (m_section != Section::StatusLine) {
        return true;
    }
    for (const char character : piece) {
        // http_parser skips line ends before the status line.
        const bool isSkipped = m_statusLine.empty() && isLineEnd(character);
        if (!isSkipped && m_statusLine.size() < statusLineBytes) {
            m_statusLine.push_back(character);
        }
    }
    if (m_statusLine.empty() || !m_isAtLineStart) {
        return true;
    }
    m_section = Section::Fields;
    return isStatusLineValid();
}

bool ResponseLines::isStatusLineValid() const
{
    constexpr size_t statusAt = protocol.size() + 2;
    constexpr size_t statusDigits = 3;
    if (m_statusLine.size() != statusLineBytes || !m_statusLine.starts_with(protocol)) {
        return false;
    }
    const std::string_view status = std::string_view(m_statusLine).substr(statusAt, statusDigits);
    const char afterStatus = m_statusLine.back();
    const bool hasForm = isDigit(m_statusLine[protocol.size()]) && m_statusLine[statusAt - 1] == ' '
                         && std::all_of(status.begin(), status.end(), &isDigit)
                         && (afterStatus == ' ' || isLineEnd(afterStatus));
    const bool isInRange = status.front() >= '1' && status.front() <= '5';
    // No request asks for another protocol, whose bytes would follow this status.
    return hasForm && isInRange && status != "101";
}

} // namespace citronpick::net::internal
