#ifndef CITRONPICK_NET_MESSAGEPARSER_H
#define CITRONPICK_NET_MESSAGEPARSER_H

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/http.h"

namespace citronpick::net
{

//! Everything of an HTTP/1.1 message before its body. Header names are lower-case.
struct MessageHead {
    std::string method; //!< Requests only.
    std::string target; //!< Requests only: path and query as they were sent.
    uint16_t status = 0; //!< Responses only.
    Headers headers;
    std::optional<uint64_t> contentLength;
    bool isChunked = false;
    bool keepsConnection = false;

    friend bool operator==(const MessageHead &, const MessageHead &) = default;
};

//! Takes what a parser finds, in order.
class IMessageSink
{
public:
    virtual ~IMessageSink() = default;

    virtual void onHead(MessageHead head) = 0;
    virtual void onBody(std::string_view bytes) = 0;
    virtual void onComplete() = 0;
};

//! Why bytes are not a message.
enum class ParseError {
    None,
    Malformed,
    HeadTooLarge,
};

//! Incremental parser of HTTP/1.1 messages, one at a time.
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

    //! Takes bytes up to the end of the message under way; gives the number taken.
    size_t feed(std::string_view bytes);
    //! The connection has ended in order. False when a message was left incomplete.
    bool finish();
    //! Makes ready for the next message.
    void reset();

    //! Bytes of a head beyond which it is refused.
    void setMaxHeadBytes(size_t bytes);
    //! The next response answers a HEAD request and has no body.
    void setExpectsNoBody(bool isExpected);

    ParseError error() const;
    bool isComplete() const;
    bool isHeadComplete() const;
    //! Nothing of a message has been seen since the last reset.
    bool isAtStart() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

//! Escapes nothing: parsed values cannot hold line ends. Appends "name: value" and a line end.
void appendHeader(std::string &out, std::string_view name, std::string_view value);

} // namespace citronpick::net

#endif // CITRONPICK_NET_MESSAGEPARSER_H
