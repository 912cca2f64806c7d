#ifndef CITRONPICK_NET_UPSTREAMCLIENT_H
#define CITRONPICK_NET_UPSTREAMCLIENT_H

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

#include "net/eventloop.h"
#include "net/messageparser.h"

namespace citronpick::net
{

//! Only calls of the same group follow each other on one connection.
enum class ConnectionGroup {
    Default,
    Batches, //!< Responses name no request; the handler closes connections that may be out of step.
    Releases, //!< Responses do not matter.
};

//! Request to an upstream, with its timeouts.
struct UpstreamCall {
    config::Endpoint to;
    std::string method;
    std::string target;
    Headers headers; //!< Without connection headers; content-length is added.
    std::string body;
    bool hasBody = false;
    bool needsFreshConnection = false;
    ConnectionGroup group = ConnectionGroup::Default;
    //! Name and value of the header by which the upstream identifies the request that a response
    //! belongs to. A response with another value of this header belongs to an earlier request and
    //! is discarded. On a reused connection, one without the header is malformed.
    std::string correlationHeader;
    std::string correlationValue;
    model::Duration connectTimeout = model::milliseconds(800);
    model::Duration timeout = model::seconds(60); //!< Covers the whole call.
    //! Limit on the response body, for handlers that collect it in memory.
    uint64_t maxBodyBytes = std::numeric_limits<uint64_t>::max();
};

//! Reason why a call has no complete response.
enum class CallFailure {
    NotSent, //!< Guarantees that no byte of the request was written.
    ConnectionLost, //!< The connection was closed or reset before the response was complete.
    Malformed, //!< The received bytes are not an HTTP response.
    TimedOut,
    TooLarge, //!< The response body exceeds UpstreamCall::maxBodyBytes.
};

std::string_view toString(CallFailure failure);

//! Receives the response to a call. The last callback is either onEnd() or onFailure(), unless the
//! call is cancelled.
class IUpstreamHandler
{
public:
    virtual ~IUpstreamHandler() = default;

    //! A new connection was established. The request is sent next unless the call is cancelled.
    virtual void onConnected(uint64_t call)
    {
        static_cast<void>(call);
    }
    virtual void onHead(uint64_t call, const MessageHead &head) = 0;
    virtual void onBody(uint64_t call, std::string_view bytes) = 0;
    virtual void onEnd(uint64_t call) = 0;
    virtual void onFailure(uint64_t call, CallFailure failure) = 0;
};

/*!
 * HTTP/1.1 client that distinguishes complete responses from truncated ones.
 *
 * A response without a length is complete only if the upstream closed its connection without a
 * reset. Bytes that follow a response are discarded and their connection is closed.
 */
class UpstreamClient
{
public:
    explicit UpstreamClient(EventLoop &loop);
    ~UpstreamClient();

    UpstreamClient(const UpstreamClient &) = delete;
    UpstreamClient &operator=(const UpstreamClient &) = delete;

    //! Starts a call and returns its number. \a handler must outlive the call and is called from
    //! the event loop only.
    uint64_t start(UpstreamCall call, IUpstreamHandler &handler);
    //! Ends a call and closes its connection without any further callback. Returns how many bytes
    //! of its request the upstream had not acknowledged.
    size_t cancel(uint64_t call);
    //! Whether the upstream may have received a part of the call's request.
    bool isSent(uint64_t call) const;
    //! Closes the idle connections to an upstream, so that no later call uses them.
    void closeIdleConnections(const config::Endpoint &to,
                              ConnectionGroup group = ConnectionGroup::Default);
    //! Pauses or resumes reading a response.
    void setPaused(uint64_t call, bool isPaused);

    //! Fails calls and closes idle connections that have exceeded their timeout. Must be called a
    //! few times per second.
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
