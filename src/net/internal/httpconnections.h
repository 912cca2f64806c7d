#ifndef CITRONPICK_NET_INTERNAL_HTTPCONNECTIONS_H
#define CITRONPICK_NET_INTERNAL_HTTPCONNECTIONS_H

#include <functional>
#include <memory>
#include <optional>

#include <absl/container/flat_hash_map.h>

#include "model/time.h"
#include "net/internal/h2o.h"

namespace citronpick::net::internal
{

//! An accepted connection of an HttpServer.
struct HttpConnection {
    h2o_socket_t *socket = nullptr;
    const void *server = nullptr; //!< The server that accepted it.
    std::function<void()> onClosed;
    //! Of the bytes received, those that belong to complete requests.
    size_t completeBytes = 0;
    size_t responseBytes = 0; //!< Buffered for responses that have not been sent.
    size_t openExchanges = 0; //!< Requests that have been received and not been answered.
    bool hadRequest = false;
    bool isHttp2 = false;
    bool isClosing = false;
    size_t receivedBytes = 0; //!< As of the last call of update().
    size_t sentBytes = 0;
    model::TimePoint progressAt; //!< When either of them last grew.

    //! Asks the system for the bytes received and sent.
    void update(model::TimePoint now);
    //! A request was received completely. \a ownBytes of those received belong to it, all of them
    //! if that is unknown.
    void noteRequest(std::optional<size_t> ownBytes, model::TimePoint now);
    //! What closing the connection gives back, at most. While H2O processes a request of HTTP/1, it
    //! reads no other one.
    size_t heldBytes() const
    {
        const bool isReading = isHttp2 || openExchanges == 0;
        return (isReading ? receivedBytes - completeBytes : 0) + responseBytes;
    }
};

//! The accepted connections of one or more HttpServers.
class HttpConnections
{
public:
    //! \a onClosed is called when H2O has closed the socket.
    void add(h2o_socket_t *socket, const void *server, std::function<void()> onClosed,
             model::TimePoint now);
    //! Null for a connection that has been closed.
    HttpConnection *find(h2o_socket_t *socket);

    void forEach(const std::function<void(HttpConnection &)> &visit);
    //! Closes the oldest one of a server that never sent a request. Returns false if there is none.
    bool closeOldestSilent(const void *server);
    //! Resets the connection, so that H2O closes the socket in the next turn of its loop.
    static void reset(HttpConnection &connection);

private:
    struct Entry {
        HttpConnections *owner = nullptr;
        HttpConnection connection;
    };
    static void onClosed(void *data);

    absl::flat_hash_map<h2o_socket_t *, std::unique_ptr<Entry>> m_entries;
};

} // namespace citronpick::net::internal

#endif // CITRONPICK_NET_INTERNAL_HTTPCONNECTIONS_H
