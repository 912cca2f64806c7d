#ifndef CITRONPICK_NET_CONNECTIONHEADERS_H
#define CITRONPICK_NET_CONNECTIONHEADERS_H

#include "net/http.h"

namespace citronpick::net
{

//! Returns \a headers without the hop-by-hop ones, which apply to a single connection. The content
//! length is removed too, because it is set anew when the message is forwarded.
Headers withoutConnectionHeaders(const Headers &headers);

} // namespace citronpick::net

#endif // CITRONPICK_NET_CONNECTIONHEADERS_H
