#include "relay/pastversions.h"

#include <algorithm>
#include <set>

namespace citronpick::relay
{

namespace
{

using Listings = std::map<model::UpstreamId, UpstreamListing>;

//! A change with what was listed before it and the range of its time.
struct Change {
    model::UpstreamId id;
    std::optional<UpstreamListing> before;
    std::optional<UpstreamListing> after;
    std::optional<model::TimePoint> startedAt; //!< The upstream started with it.
    model::TimePoint earliest;
    model::TimePoint latest;
};

// Incarnations are milliseconds of Unix time where the registry states them.
std::optional<model::TimePoint> startOf(const UpstreamListing &listing, model::WallTime wallNow,
                                        model::TimePoint now)
{
    if (listing.incarnation == 0) {
        return std::nullopt;
    }
    const auto wallMs = static_cast<uint64_t>(wallNow.time_since_epoch().count());
    const uint64_t ageMs = wallMs - std::min(wallMs, listing.incarnation);
    const model::Duration sinceBoot = now.time_since_epoch();
    constexpr uint64_t maxAgeMs = 3'600'000;
    const model::Duration age
        = model::milliseconds(static_cast<int64_t>(std::min(ageMs, maxAgeMs)));
    return now - std::min(age, sinceBoot);
}

// An entry that begins to leave said before that it takes work.
std::optional<UpstreamListing> assumedBefore(const PastListing &change)
{
    if (!change.listing || change.isFirst) {
        return std::nullopt;
    }
    UpstreamListing before = *change.listing;
    before.isLeaving = false;
    return before;
}

std::vector<Change> toChanges(const std::vector<PastListing> &past, model::WallTime wallNow,
                              model::TimePoint now)
{
    std::vector<Change> changes;
    std::map<model::UpstreamId, std::optional<UpstreamListing>> known;
    for (const PastListing &each : past) {
        const auto earlier = known.find(each.id);
        Change change {.id = each.id,
                       .before = earlier == known.end() ? assumedBefore(each) : earlier->second,
                       .after = each.listing};
        const bool isStart
            = change.after
              && (!change.before || change.before->incarnation != change.after->incarnation);
        if (isStart) {
            change.startedAt = startOf(*change.after, wallNow, now);
        }
        known[each.id] = each.listing;
        changes.push_back(std::move(change));
    }
    return changes;
}

// Where the registry keeps no changes, the starts of what is listed tell since when it is.
std::vector<Change> startsOf(const std::vector<UpstreamListing> &listed, model::WallTime wallNow,
                             model::TimePoint now)
{
    std::vector<Change> starts;
    for (const UpstreamListing &listing : listed) {
        if (const auto startedAt = startOf(listing, wallNow, now)) {
            starts.push_back({.id = listing.id,
                              .before = std::nullopt,
                              .after = listing,
                              .startedAt = startedAt});
        }
    }
    std::stable_sort(starts.begin(), starts.end(), [](const Change &left, const Change &right) {
        return left.startedAt < right.startedAt;
    });
    return starts;
}

void boundTimes(std::vector<Change> &changes, model::TimePoint now)
{
    model::TimePoint earliest;
    for (Change &change : changes) {
        earliest = std::max(earliest, change.startedAt.value_or(earliest));
        change.earliest = earliest;
    }
    model::TimePoint latest = now;
    for (auto change = changes.rbegin(); change != changes.rend(); ++change) {
        latest = std::max(change->earliest, std::min(latest, change->startedAt.value_or(latest)));
        change->latest = latest;
    }
}

void set(Listings &listings, const model::UpstreamId &id,
         const std::optional<UpstreamListing> &listing)
{
    if (listing) {
        listings[id] = *listing;
    } else {
        listings.erase(id);
    }
}

VersionCounts countsOf(const Listings &listings, const model::PoolId &pool)
{
    VersionCounts counts;
    for (const auto &[id, listing] : listings) {
        if (listing.pool == pool && !listing.isLeaving) {
            ++counts[listing.version];
        }
    }
    if (counts.size() > 1) {
        counts.erase(model::SoftwareVersion());
    }
    return counts;
}

std::vector<VersionEpoch> epochsOf(const model::PoolId &pool, Listings listings,
                                   const std::vector<Change> &changes)
{
    std::vector<VersionEpoch> epochs = {{.counts = countsOf(listings, pool)}};
    for (const Change &change : changes) {
        set(listings, change.id, change.after);
        VersionCounts counts = countsOf(listings, pool);
        if (counts != epochs.back().counts) {
            epochs.push_back({.earliest = change.earliest,
                              .latest = change.latest,
                              .counts = std::move(counts)});
        }
    }
    return epochs;
}

} // namespace

std::map<model::PoolId, std::vector<VersionEpoch>>
pastVersions(const std::vector<PastListing> &changes, const std::vector<UpstreamListing> &listed,
             model::WallTime wallNow, model::TimePoint now)
{
    std::vector<Change> past
        = changes.empty() ? startsOf(listed, wallNow, now) : toChanges(changes, wallNow, now);
    boundTimes(past, now);
    Listings before;
    std::set<model::PoolId> pools;
    for (const UpstreamListing &listing : listed) {
        before[listing.id] = listing;
        pools.insert(listing.pool);
    }
    for (auto change = past.rbegin(); change != past.rend(); ++change) {
        set(before, change->id, change->before);
    }
    std::map<model::PoolId, std::vector<VersionEpoch>> result;
    for (const model::PoolId &pool : pools) {
        result[pool] = epochsOf(pool, before, past);
    }
    return result;
}

} // namespace citronpick::relay
