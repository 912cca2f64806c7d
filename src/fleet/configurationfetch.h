#ifndef CITRONPICK_FLEET_CONFIGURATIONFETCH_H
#define CITRONPICK_FLEET_CONFIGURATIONFETCH_H

#include <optional>

#include "fleet/fleetsystem.h"

namespace citronpick::fleet
{

/*!
 * Decides when a daemon fetches a newer configuration that a peer has announced.
 *
 * At most one copy is on its way: further ones would share the same link and delay all of them.
 */
class ConfigurationFetch
{
public:
    void onAnnounced(const NewerConfiguration &newer);

    //! The fetch to start now, if any; it is pending until onEnded(). \a isAnswerArriving: the
    //! source of registry changes is sending an answer, which may hold the configuration.
    std::optional<NewerConfiguration> take(model::Revision inForce, bool isAnswerArriving,
                                           model::TimePoint now);
    //! The fetch has ended, with or without a document.
    void onEnded();

private:
    std::optional<NewerConfiguration> m_announced; //!< The newest one that was not fetched yet.
    bool m_isPending = false;
    model::TimePoint m_nextStart;
};

} // namespace citronpick::fleet

#endif // CITRONPICK_FLEET_CONFIGURATIONFETCH_H
