#ifndef CITRONPICK_DAEMON_INTERNAL_REGISTRYREADER_H
#define CITRONPICK_DAEMON_INTERNAL_REGISTRYREADER_H

#include <functional>
#include <string>

#include "daemon/iwireformat.h"
#include "net/upstreamclient.h"
#include "registry/registryfollower.h"

namespace citronpick::daemon
{

//! Carries a follower's calls to the registry and its news back.
class RegistryReader : public net::IUpstreamHandler
{
public:
    using NewsHandler = std::function<void(const registry::FollowerNews &)>;

    RegistryReader(net::UpstreamClient &client, const IWireFormat &format,
                   config::Endpoint registry, registry::FollowerOptions options, uint64_t seed,
                   NewsHandler handler);

    //! Starts what is due and hands out news.
    void run(model::TimePoint now);

    //! What a peer has read; news of it are handed out at once.
    void takePeerListing(const registry::RegistryPage &listing, model::TimePoint now);

    const registry::RegistryFollower &follower() const
    {
        return m_follower;
    }

    void onHead(uint64_t call, const net::MessageHead &head) override;
    void onBody(uint64_t call, std::string_view bytes) override;
    void onEnd(uint64_t call) override;
    void onFailure(uint64_t call, net::CallFailure failure) override;

private:
    void takeAnswer(model::TimePoint now);

    net::UpstreamClient &m_client;
    const IWireFormat &m_format;
    config::Endpoint m_registry;
    std::string m_prefix;
    registry::RegistryFollower m_follower;
    NewsHandler m_handler;
    uint64_t m_call = 0;
    bool m_isWatch = false;
    uint16_t m_status = 0;
    std::string m_body;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_REGISTRYREADER_H
