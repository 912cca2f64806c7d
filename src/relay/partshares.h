#ifndef CITRONPICK_RELAY_PARTSHARES_H
#define CITRONPICK_RELAY_PARTSHARES_H

#include <string>

#include <absl/container/flat_hash_map.h>

#include "model/time.h"

namespace citronpick::relay
{

//! Bounds of a part's share of the requests, 0 to 1, from the requests that were seen.
struct ShareBounds {
    double low = 0.0;
    double high = 1.0;

    friend bool operator==(const ShareBounds &, const ShareBounds &) = default;
};

//! Counts which shares of the recent requests contain a part of prompts.
class PartShares
{
public:
    //! A request arrived; its parts follow.
    void noteRequest(model::TimePoint now);
    void notePart(const std::string &part, model::TimePoint now);
    ShareBounds of(const std::string &part, model::TimePoint now) const;
    size_t size() const
    {
        return m_parts.size();
    }

private:
    //! A count that decays with time.
    struct Count {
        double value = 0.0;
        model::TimePoint at;

        double valueAt(model::TimePoint now) const;
        void add(model::TimePoint now);
    };

    void limit(model::TimePoint now);

    Count m_requests;
    absl::flat_hash_map<std::string, Count> m_parts;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_PARTSHARES_H
