#ifndef CITRONPICK_NET_HTTPCLIENT_H
#define CITRONPICK_NET_HTTPCLIENT_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "net/eventloop.h"
#include "net/http.h"

namespace citronpick::net
{

//! Callbacks of one call. The last one is either onResponse or onError, unless the call is
//! cancelled.
struct HttpCallbacks {
    std::function<void(const HttpResponse &)> onHead; //!< Streamed calls only; the body is empty.
    std::function<void(std::string_view)> onData; //!< Streamed calls only.
    //! The response head, or \a bodyBytes more of the body, have arrived. May be empty; must not
    //! cancel the call.
    std::function<void(size_t bodyBytes)> onProgress;
    std::function<void(HttpResponse)> onResponse;
    std::function<void(HttpError)> onError;
};

//! HTTP/1.1 client with persistent connections, which runs on the thread of its event loop.
class HttpClient
{
public:
    explicit HttpClient(EventLoop &loop);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    //! Starts a call and returns its number. Callbacks are called from the event loop, never from
    //! within start().
    uint64_t start(const HttpCall &call, HttpCallbacks callbacks);

    //! Ends a call without any further callback. Unknown numbers are ignored.
    void cancel(uint64_t number);

    //! Pauses or resumes reading a streamed response.
    void setPaused(uint64_t number, bool isPaused);

    //! Fails calls that have exceeded their timeout. Must be called every few milliseconds.
    void expire(model::TimePoint now);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace citronpick::net

#endif // CITRONPICK_NET_HTTPCLIENT_H
