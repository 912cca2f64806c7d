#ifndef CITRONPICK_REGISTRY_CHANGESOURCE_H
#define CITRONPICK_REGISTRY_CHANGESOURCE_H

#include <map>
#include <optional>

#include "model/time.h"
#include "registry/readerchoice.h"

namespace citronpick::registry
{

struct ChangeSourceOptions {
    model::DaemonId daemon; //!< This daemon.
    model::ZoneId zone;
    ReaderChoiceOptions readers;
    //! How long a reader that cannot be reached is not asked.
    model::Duration unreachableAvoidance = model::seconds(3);
    //! How long a reader is not asked that answered that it has no current content.
    model::Duration outdatedAvoidance = model::seconds(1);
};

//! Why a reader did not answer with changes.
enum class PeerError {
    Unreachable,
    Outdated, //!< It does not read the registry, or has not read it recently enough.
};

/*!
 * Decides whether a daemon watches the registry itself or asks a daemon that does.
 *
 * A few readers per zone watch the registry for all, so that the number of registry calls does not
 * grow with the fleet. A daemon that gets no answer from two readers in a row watches the registry
 * itself until its next watch ends.
 */
class ChangeSource
{
public:
    explicit ChangeSource(ChangeSourceOptions options)
        : m_options(std::move(options))
    {
    }

    //! Sets the daemons that accept requests, including this one if it does.
    void setDaemons(const std::vector<ReaderCandidate> &daemons);

    //! Whether other daemons rely on this one.
    bool isReader() const
    {
        return m_isReader;
    }
    //! Whether this daemon normally asks a reader.
    bool hasReaders() const
    {
        return !m_isReader && !m_readers.empty();
    }

    //! The reader to ask; nothing if this daemon has to watch the registry itself. While the
    //! registry may not be called (\a isRegistryDue is false), readers are asked regardless of
    //! earlier failures.
    std::optional<ReaderCandidate> choose(model::TimePoint now, bool isRegistryDue) const;

    //! Whether the last reader asked did not answer with changes.
    bool hasPeerFailed() const
    {
        return m_peerFailures > 0;
    }

    void onPeerAnswered();
    void onPeerFailed(const model::DaemonId &reader, PeerError error, model::TimePoint now);
    //! A call to the registry has ended, with or without success.
    void onRegistryCallEnded();

private:
    ChangeSourceOptions m_options;
    std::vector<ReaderCandidate> m_readers; //!< The preferred one first.
    bool m_isReader = false;
    uint32_t m_peerFailures = 0; //!< Consecutive ones.
    std::map<model::DaemonId, model::TimePoint> m_avoidedUntil;
};

} // namespace citronpick::registry

#endif // CITRONPICK_REGISTRY_CHANGESOURCE_H
