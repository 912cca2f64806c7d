#ifndef CITRONPICK_RELAY_COLDSTARTLIMIT_H
#define CITRONPICK_RELAY_COLDSTARTLIMIT_H

#include <optional>

#include "model/ids.h"
#include "model/time.h"
#include "relay/relayconfiguration.h"
#include "relay/senderranking.h"

namespace citronpick::relay
{

//! How far the whole fleet may exceed the rate that a cold upstream tolerates.
struct ColdStartOptions {
    model::DaemonId daemon; //!< This daemon.
    double overshoot = 1.0; //!< Factor on the tolerated rate.
    double slack = 0.0; //!< Additional requests in any one second.

    friend bool operator==(const ColdStartOptions &, const ColdStartOptions &) = default;
};

/*!
 * Limits what all daemons together send to an upstream that is still cold after its start.
 *
 * Each daemon derives from the list of members alone how much of the rate is its own, in whole
 * requests per second: nothing for most daemons of a large fleet. Nothing is exchanged for it.
 */
class ColdStartLimit
{
public:
    explicit ColdStartLimit(ColdStartOptions options)
        : m_options(std::move(options))
    {
    }

    void setConfiguration(RelayConfigurationPtr configuration)
    {
        m_configuration = std::move(configuration);
    }

    //! Null if upstreams of the pool take their full load from their start on.
    const ColdStartRule *ruleOf(const model::PoolId &pool) const;
    //! Requests per second that the daemons of one view of the fleet send to a cold upstream.
    uint32_t totalOf(const ColdStartRule &rule) const;
    //! Minimum time between two requests of this daemon to an upstream of the pool while that is
    //! cold; nullopt if it may send none.
    std::optional<model::Duration> intervalOf(const model::UpstreamId &upstream,
                                              const model::PoolId &pool,
                                              const SenderRanking &ranking) const;

private:
    ColdStartOptions m_options;
    RelayConfigurationPtr m_configuration;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_COLDSTARTLIMIT_H
