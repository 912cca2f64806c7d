#ifndef CITRONPICK_DAEMON_INTERNAL_REGISTRYREADER_H
#define CITRONPICK_DAEMON_INTERNAL_REGISTRYREADER_H

#include <functional>
#include <string>
#include <string_view>

#include "daemon/ieventsink.h"
#include "daemon/iwireformat.h"
#include "net/upstreamclient.h"
#include "registry/registryfollower.h"

namespace citronpick::daemon
{

//! Sends the calls of a RegistryFollower to the registry and delivers the follower's updates.
class RegistryReader : public net::IUpstreamHandler
{
public:
    //! Gets all updates that follow from one answer, in their order.
    using UpdateHandler = std::function<void(const std::vector<registry::FollowerUpdate> &)>;
    //! Starts a watch at a peer, which ends with onPeerChanges() or onPeerError().
    using PeerWatchStarter = std::function<void(const registry::WatchPeer &)>;

    RegistryReader(net::UpstreamClient &client, const IWireFormat &format,
                   config::Endpoint registry, registry::FollowerOptions options, uint64_t seed,
                   UpdateHandler handler, PeerWatchStarter startPeerWatch, IEventSink &sink);

    void setDaemons(const std::vector<registry::ReaderCandidate> &daemons)
    {
        m_follower.setDaemons(daemons);
    }
    void onPeerChanges(const registry::PeerChanges &changes, model::TimePoint now);
    void onPeerError(registry::PeerError error, model::TimePoint now);

    //! Delivers pending updates and starts the next registry call if it is due.
    void run(model::TimePoint now);

    //! Applies the registry listing of a peer and delivers the resulting updates immediately.
    void applyPeerListing(const registry::PeerListing &listing, model::TimePoint now);

    const registry::RegistryFollower &follower() const
    {
        return m_follower;
    }

    //! Whether an answer of the registry has begun to arrive and is not complete.
    bool isAnswerArriving() const
    {
        return m_call != 0 && !m_body.empty();
    }

    void onHead(uint64_t call, const net::MessageHead &head) override;
    void onBody(uint64_t call, std::string_view bytes) override;
    void onEnd(uint64_t call) override;
    void onFailure(uint64_t call, net::CallFailure failure) override;

private:
    void startCall(net::UpstreamCall call, uint64_t maxBodyBytes);
    void abandonOverdueCall(model::TimePoint now);
    void handleAnswer(model::TimePoint now);
    void failCall(registry::CallError error, std::string_view why, model::TimePoint now);
    void recordReturn(model::TimePoint now);

    net::UpstreamClient &m_client;
    const IWireFormat &m_format;
    config::Endpoint m_registry;
    std::string m_prefix;
    registry::RegistryFollower m_follower;
    UpdateHandler m_handler;
    PeerWatchStarter m_startPeerWatch;
    IEventSink &m_sink;
    uint64_t m_call = 0;
    bool m_isWatch = false;
    uint64_t m_era = 0; //!< As the answer names it.
    uint16_t m_status = 0;
    std::string m_body;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_REGISTRYREADER_H
