#ifndef CITRONPICK_NET_UPSTREAMCLIENT_H
#define CITRONPICK_NET_UPSTREAMCLIENT_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "net/eventloop.h"
#include "net/messageparser.h"

namespace citronpick::net
{

//! One request to another server, as bytes.
struct UpstreamCall {
    config::Endpoint to;
    std::string method;
    std::string target;
    Headers headers; //!< Without those of the connection; the length is added.
    std::string body;
    bool hasBody = false;
    bool needsFreshConnection = false;
    //! An answer whose header of this name has another value belongs to an earlier request.
    std::string echoName;
    std::string echoValue;
    model::Duration connectTimeout = model::milliseconds(800);
    model::Duration timeout = model::seconds(60); //!< For the whole call.
};

//! Why a call has no complete answer.
enum class CallFailure {
    NotSent, //!< Proven: no byte of the request was handed to the connection.
    Broken, //!< The connection ended, in order or by a reset.
    Malformed, //!< What came is no answer.
    TimedOut,
};

std::string_view toString(CallFailure failure);

//! Takes what comes back. Exactly one of onEnd and onFailure comes last, unless it was cancelled.
class IUpstreamHandler
{
public:
    virtual ~IUpstreamHandler() = default;

    virtual void onHead(uint64_t call, const MessageHead &head) = 0;
    virtual void onBody(uint64_t call, std::string_view bytes) = 0;
    virtual void onEnd(uint64_t call) = 0;
    virtual void onFailure(uint64_t call, CallFailure failure) = 0;
};

/*!
 * HTTP/1.1 client that shows how an answer ended.
 *
 * An answer without a length is complete only if its connection ended in order; bytes after an
 * answer end the connection and reach nobody.
 */
class UpstreamClient
{
public:
    explicit UpstreamClient(EventLoop &loop);
    ~UpstreamClient();

    UpstreamClient(const UpstreamClient &) = delete;
    UpstreamClient &operator=(const UpstreamClient &) = delete;

    //! Starts a call; the handler, which outlives it, is called from the loop only.
    uint64_t start(UpstreamCall call, IUpstreamHandler &handler);
    //! Ends a call and its connection without any further callback.
    void cancel(uint64_t call);
    //! Stops or resumes reading an answer.
    void setPaused(uint64_t call, bool isPaused);

    //! Ends calls and idle connections past their time; to be called a few times a second.
    void sweep(model::TimePoint now);

    size_t callCount() const;
    size_t idleCount() const;
    uint64_t connectsStarted() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace citronpick::net

#endif // CITRONPICK_NET_UPSTREAMCLIENT_H
