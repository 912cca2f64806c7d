#ifndef CITRONPICK_RELAY_STREAMORIGINS_H
#define CITRONPICK_RELAY_STREAMORIGINS_H

#include <deque>
#include <optional>

#include <absl/container/flat_hash_map.h>

#include "model/ids.h"
#include "model/time.h"

namespace citronpick::relay
{

//! Remembers for a minute which software version began the stream of a caller's attempt.
class StreamOrigins
{
public:
    //! The first version that is given for an attempt stays.
    void add(const model::CallerRequestId &attempt, const model::SoftwareVersion &version,
             model::TimePoint now);
    std::optional<model::SoftwareVersion> find(const model::CallerRequestId &attempt) const;
    size_t size() const
    {
        return m_versions.size();
    }

private:
    struct Addition {
        model::CallerRequestId attempt;
        model::TimePoint at;
    };

    absl::flat_hash_map<model::CallerRequestId, model::SoftwareVersion> m_versions;
    std::deque<Addition> m_additions; //!< Oldest first.
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_STREAMORIGINS_H
