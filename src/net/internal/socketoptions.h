#ifndef CITRONPICK_NET_INTERNAL_SOCKETOPTIONS_H
#define CITRONPICK_NET_INTERNAL_SOCKETOPTIONS_H

#include <vector>

#include "model/time.h"
#include "net/internal/h2o.h"

namespace citronpick::net::internal
{

//! Disables Nagle's algorithm, so that small writes are sent at once, and makes the connection fail
//! if for \a unacknowledgedTimeout the peer acknowledges neither data nor keep-alive probes, or has
//! no room for more data.
void setSocketOptions(h2o_socket_t *socket, model::Duration unacknowledgedTimeout);

//! Bounds the bytes that are received and not yet read.
void limitReceiveBuffer(h2o_socket_t *socket, size_t bytes);

//! Bytes that were received and not yet read.
size_t unreadBytes(h2o_socket_t *socket);

//! Bytes that were sent and not yet acknowledged by the peer.
size_t unacknowledgedBytes(h2o_socket_t *socket);

//! Makes closing the connection a reset that discards what was not sent yet.
void discardUnsentAtClose(h2o_socket_t *socket);

//! Whether the peer has closed or reset the connection, also if bytes that it sent before that are
//! still unread.
bool hasPeerClosed(h2o_socket_t *socket);

//! The same for many connections, with one system call.
std::vector<bool> havePeersClosed(const std::vector<h2o_socket_t *> &sockets);

//! Whether \a error, which reading reported, is the end of a connection that the peer has closed
//! and not reset.
bool hasEndedInOrder(h2o_socket_t *socket, const char *error);

} // namespace citronpick::net::internal

#endif // CITRONPICK_NET_INTERNAL_SOCKETOPTIONS_H
