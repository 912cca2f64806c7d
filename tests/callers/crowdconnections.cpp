#include "callers/crowdconnections.h"

namespace citronpick::testing
{

void sendFromEach(std::vector<RawPeer> &connections, const std::vector<uint16_t> &ports,
                  size_t callers, const std::vector<std::string> &texts,
                  const std::function<void()> &runOnce)
{
    const size_t first = connections.size();
    for (size_t i = 0; i < callers; ++i) {
        for (const uint16_t port : ports) {
            connections.push_back(RawPeer::connectTo(port));
        }
    }
    std::vector<size_t> sent(connections.size() - first, 0);
    for (int idle = 0; idle < idleIterations; ++idle) {
        for (size_t i = 0; i < sent.size(); ++i) {
            RawPeer &peer = connections[first + i];
            const std::string_view bytes = texts[i / ports.size() % texts.size()];
            const size_t count = sent[i] < bytes.size() && !peer.isRefused()
                                     ? peer.sendSome(bytes.substr(sent[i]))
                                     : 0;
            sent[i] += count;
            idle = count > 0 ? 0 : idle;
        }
        runOnce();
    }
}

bool isAnswered(const std::string &request, uint16_t port, int maxIterations,
                const std::function<void()> &runOnce)
{
    RawPeer peer;
    size_t sent = request.size();
    for (int i = 0; i < maxIterations; ++i) {
        if (peer.received().starts_with("HTTP/1.1 200")) {
            return true;
        }
        const bool isRefused
            = !peer.received().empty() || peer.hasEnded() || peer.wasReset() || peer.isRefused();
        if (i == 0 || isRefused) {
            runOnce();
            peer = RawPeer::connectTo(port);
            sent = 0;
        }
        sent += sent < request.size() ? peer.sendSome(std::string_view(request).substr(sent)) : 0;
        runOnce();
    }
    return false;
}

} // namespace citronpick::testing
