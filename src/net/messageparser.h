#ifndef CITRONPICK_NET_MESSAGEPARSER_H
#define CITRONPICK_NET_MESSAGEPARSER_H

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/http.h"

namespace citronpick::net
{

//! Start line and headers of an HTTP/1.1 message. Header names are lower-case.
struct MessageHead {
    std::string method; //!< Requests only.
    std::string target; //!< Requests only: path and query, not decoded.
    uint16_t status = 0; //!< Responses only.
    Headers headers;
    std::optional<uint64_t> contentLength;
    bool isChunked = false;
    bool isKeepAlive = false; //!< The connection may carry further messages.
    bool endsWithConnection = false; //!< Responses only: the body has no length and no chunks.

    friend bool operator==(const MessageHead &, const MessageHead &) = default;
};

//! Receives the parts of a message from a MessageParser, in order.
class IMessageSink
{
public:
    virtual ~IMessageSink() = default;

    virtual void onHead(MessageHead head) = 0;
    virtual void onBody(std::string_view bytes) = 0;
    virtual void onComplete() = 0;
};

//! Reason why a MessageParser rejected its input.
enum class ParseError {
    None,
    Malformed,
    HeadTooLarge,
};

//! Incremental parser of HTTP/1.1 messages that stops at the end of each message.
class MessageParser
{
public:
    enum class Kind {
        Request,
        Response,
    };

    MessageParser(Kind kind, IMessageSink &sink);
    ~MessageParser();

    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    //! Parses bytes up to the end of the current message; returns the number of bytes consumed.
    size_t feed(std::string_view bytes);
    //! Must be called when the peer has closed the connection without a reset. Returns false if
    //! the current message is incomplete.
    bool finish();
    //! Prepares for the next message.
    void reset();

    //! Larger message heads are rejected with ParseError::HeadTooLarge.
    void setMaxHeadBytes(size_t bytes);
    //! Must be set for the response to a HEAD request, which has no body.
    void setExpectsNoBody(bool isExpected);

    ParseError error() const;
    bool isComplete() const;
    bool isHeadComplete() const;
    //! Bytes of the head that were parsed, for a response with the memory that its fields take;
    //! zero once it is complete.
    size_t headBytes() const;
    //! True while no message has begun since the last reset.
    bool isAtStart() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

//! Appends "name: value" and a line end. Nothing is escaped, as parsed values cannot contain line
//! ends.
void appendHeader(std::string &out, std::string_view name, std::string_view value);

} // namespace citronpick::net

#endif // CITRONPICK_NET_MESSAGEPARSER_H
