#ifndef CITRONPICK_NET_INTERNAL_SOCKETOPTIONS_H
#define CITRONPICK_NET_INTERNAL_SOCKETOPTIONS_H

#include "net/internal/h2o.h"

namespace citronpick::net::internal
{

//! Disables Nagle's algorithm, so that small writes are sent at once, and makes the connection fail
//! if the peer stops acknowledging data or keep-alive probes.
void setSocketOptions(h2o_socket_t *socket);

} // namespace citronpick::net::internal

#endif // CITRONPICK_NET_INTERNAL_SOCKETOPTIONS_H
