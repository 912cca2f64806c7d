#ifndef CITRONPICK_DAEMON_INTERNAL_PEERWATCHERS_H
#define CITRONPICK_DAEMON_INTERNAL_PEERWATCHERS_H

#include <map>
#include <optional>

#include "daemon/internal/fleetapi.h"
#include "registry/registryfollower.h"

namespace citronpick::daemon
{

//! Answers the watches of daemons that rely on this one to read the registry: at once if there are
//! changes or this daemon has no current content, otherwise when their time is over.
class PeerWatchers
{
public:
    PeerWatchers(FleetApi &api, const registry::RegistryFollower &follower,
                 documents::TextHistory &texts)
        : m_api(api)
        , m_follower(follower)
        , m_texts(texts)
    {
    }

    void add(const RegistryWatch &watch, model::TimePoint now);
    //! Answers the watches that are due. Cheap while nothing has changed.
    void run(model::TimePoint now);
    //! When run() has to be called next if the registry's content does not change.
    std::optional<model::TimePoint> nextRun() const;

    size_t size() const
    {
        return m_watches.size();
    }

private:
    struct Watch {
        uint64_t afterRevision = 0;
        model::TimePoint expiresAt;
        documents::KnownTexts knownTexts;
    };

    //! Returns false if there is nothing to answer yet.
    bool answer(uint64_t exchange, const Watch &watch, model::TimePoint now);

    FleetApi &m_api;
    const registry::RegistryFollower &m_follower;
    documents::TextHistory &m_texts;
    std::map<uint64_t, Watch> m_watches; //!< By exchange.
    uint64_t m_answeredRevision = 0; //!< Up to here all watches have been answered.
    model::TimePoint m_nextCheck;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_PEERWATCHERS_H
