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

//! What a call reports. Exactly one of onAnswer and onError comes last, unless it was cancelled.
struct HttpCallbacks {
    std::function<void(const HttpAnswer &)> onHead; //!< Streamed calls only; without a body.
    std::function<void(std::string_view)> onData; //!< Streamed calls only.
    std::function<void(HttpAnswer)> onAnswer;
    std::function<void(HttpError)> onError;
};

//! HTTP/1.1 calls over kept connections, on the loop's thread.
class HttpClient
{
public:
    explicit HttpClient(EventLoop &loop);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    //! Starts a call; callbacks come from the loop, never from within start().
    uint64_t start(const HttpCall &call, HttpCallbacks callbacks);

    //! Ends a call without any further callback. Unknown numbers are ignored.
    void cancel(uint64_t number);

    //! Stops or resumes reading a streamed answer.
    void setPaused(uint64_t number, bool isPaused);

    //! Ends calls that are past their time; to be called every few milliseconds.
    void expire(model::TimePoint now);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace citronpick::net

#endif // CITRONPICK_NET_HTTPCLIENT_H
