#ifndef CITRONPICK_NET_INTERNAL_IOVEC_H
#define CITRONPICK_NET_INTERNAL_IOVEC_H

#include <string_view>

#include "net/internal/h2o.h"

namespace citronpick::net::internal
{

inline std::string_view viewOf(const h2o_iovec_t &bytes)
{
    return {bytes.base, bytes.len};
}

inline h2o_iovec_t toIovec(std::string_view text)
{
    return h2o_iovec_init(text.data(), text.size());
}

} // namespace citronpick::net::internal

#endif // CITRONPICK_NET_INTERNAL_IOVEC_H
