#ifndef CITRONPICK_NET_CONNECTIONHEADERS_H
#define CITRONPICK_NET_CONNECTIONHEADERS_H

#include "net/http.h"

namespace citronpick::net
{

//! The headers that concern more than one connection. Lengths are left out: whoever sends the
//! message on frames it anew.
Headers withoutConnectionHeaders(const Headers &headers);

} // namespace citronpick::net

#endif // CITRONPICK_NET_CONNECTIONHEADERS_H
