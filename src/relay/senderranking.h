#ifndef CITRONPICK_RELAY_SENDERRANKING_H
#define CITRONPICK_RELAY_SENDERRANKING_H

#include <map>
#include <optional>
#include <vector>

#include "model/ids.h"
#include "model/time.h"

namespace citronpick::relay
{

/*!
 * Ranks the daemons of the fleet as senders to an upstream that takes little from all of them
 * together.
 *
 * The rank follows from the list of members alone, by rendezvous hashing: nothing is exchanged for
 * it, and the loss of a daemon moves only its own part.
 */
class SenderRanking
{
public:
    explicit SenderRanking(model::DaemonId self)
        : m_self(std::move(self))
    {
    }

    //! Sets the daemons that are alive, including this one.
    void setDaemons(std::vector<model::DaemonId> daemons, model::TimePoint now);
    //! Returns true if ranks may differ from those after the last call.
    bool update(model::TimePoint now);
    //! When update() has something to do if the daemons stay the same.
    std::optional<model::TimePoint> nextUpdate() const;

    //! Whether this daemon knows most others, as of the last update.
    bool isSettled() const
    {
        return m_isSettled;
    }
    //! Daemons that are alive or were recently; at least this one.
    size_t daemonCount() const;
    //! Daemons that come before this one.
    size_t rankOf(const model::UpstreamId &upstream) const;

private:
    bool isSettledAt(model::TimePoint now) const;

    model::DaemonId m_self;
    //! Daemons that are alive or were recently, and until when each counts.
    std::map<model::DaemonId, model::TimePoint> m_daemons;
    std::optional<model::TimePoint> m_startedAt; //!< Of this daemon.
    model::TimePoint m_settledAt;
    bool m_isSettled = false;
    bool m_hasChanged = false; //!< Since the last update.
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_SENDERRANKING_H
