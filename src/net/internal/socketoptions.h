#ifndef CITRONPICK_NET_INTERNAL_SOCKETOPTIONS_H
#define CITRONPICK_NET_INTERNAL_SOCKETOPTIONS_H

#include "net/internal/h2o.h"

namespace citronpick::net::internal
{

//! Sends small writes at once and gives up on a peer that acknowledges nothing.
void prepareSocket(h2o_socket_t *socket);

} // namespace citronpick::net::internal

#endif // CITRONPICK_NET_INTERNAL_SOCKETOPTIONS_H
