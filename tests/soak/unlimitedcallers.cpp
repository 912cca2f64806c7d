#include "soak/unlimitedcallers.h"

#include <absl/strings/str_cat.h>

namespace citronpick::soak
{

namespace
{

constexpr size_t callerCount = 60;
constexpr size_t bodyBytes = 1U << 20U;

} // namespace

UnlimitedCallers::UnlimitedCallers(config::Endpoint to, std::string host, uint32_t variant)
    : m_to(std::move(to))
    , m_callers(callerCount)
{
    const std::string head
        = absl::StrCat("POST /x HTTP/1.1\r\nHost: ", host, "\r\nX-Request-Id: unlimited\r\n");
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    std::string smallChunks = chunked;
    while (smallChunks.size() < bodyBytes) {
        smallChunks += "1\r\nx\r\n";
    }
    m_texts
        = {absl::StrCat(head, "Content-Length: ", bodyBytes, "\r\n\r\n",
                        std::string(bodyBytes - 1, 'x')),
           smallChunks,
           absl::StrCat(chunked, absl::Hex(bodyBytes), "\r\n", std::string(bodyBytes, 'x')),
           absl::StrCat(head, "Content-Length: 100000000000\r\n\r\n", std::string(bodyBytes, 'x'))};
    for (size_t i = 0; i < m_callers.size(); ++i) {
        connect(m_callers[i], i + variant);
    }
}

void UnlimitedCallers::connect(Caller &caller, size_t number)
{
    caller.peer = net::testing::RawPeer::beginConnecting(m_to.port, m_to.host);
    caller.text = &m_texts[number % m_texts.size()];
    caller.sent = 0;
}

void UnlimitedCallers::run()
{
    for (size_t i = 0; i < m_callers.size(); ++i) {
        Caller &caller = m_callers[i];
        if (caller.peer.hasEnded() || caller.peer.wasReset()) {
            connect(caller, i);
            continue;
        }
        if (caller.sent < caller.text->size()) {
            caller.sent += caller.peer.sendSome(std::string_view(*caller.text).substr(caller.sent));
        }
    }
}

} // namespace citronpick::soak
