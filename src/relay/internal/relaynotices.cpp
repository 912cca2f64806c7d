#include <algorithm>

#include <absl/strings/str_cat.h>

#include "model/abslview.h"
#include "relay/relaysystem.h"
#include "relay/retryafter.h"

// The part of RelaySystem that handles what upstreams state about themselves in their answers.

namespace citronpick::relay
{

using observability::EventCode;

namespace
{

//! Daemons that an upstream told to wait at the same moment return about this long after each
//! other.
constexpr model::Duration returnInterval = model::milliseconds(10);

} // namespace

model::Duration RelaySystem::retryAfterOf(const model::PoolId &pool, model::Duration otherwise,
                                          model::TimePoint now) const
{
    return retryAfterFor(m_directory.availableToFleetFrom(pool, now), otherwise, now);
}

// A request does not begin its stages if all upstreams of one of them leave, or if those that would
// run the request itself leave or rest for too long.
std::optional<model::Duration> RelaySystem::unservableRetryAfter(const Exchange &exchange,
                                                                 model::TimePoint now) const
{
    const auto isServed = [&](const model::PoolId &pool, model::TimePoint until) {
        return m_directory.inPool(pool).empty() || m_directory.availableFrom(pool, now) < until;
    };
    const std::vector<StageRule> &stages = exchange.route->stages;
    for (uint32_t i = 0; i < stages.size(); ++i) {
        const bool isNeeded = exchange.plan.pieceCount(i) > 0;
        if (isNeeded && !isServed(stages[i].pool, model::TimePoint::max())) {
            return emptyPoolRetryAfter;
        }
    }
    if (stages.empty() || isServed(exchange.pool, exchange.firstEventDeadline)) {
        return std::nullopt;
    }
    return retryAfterOf(exchange.pool, emptyPoolRetryAfter, now);
}

// The answer came from the start of the upstream that was listed when the call began, or from a
// later one that may be listed by now or not yet.
UpstreamStarts RelaySystem::startsOf(const NoticeSource &source, const UpstreamNotice &notice) const
{
    const Upstream *upstream = m_directory.find(source.upstream);
    return {.last = std::max(source.incarnation, upstream ? upstream->listing.incarnation : 0),
            .recent = notice.recentStarts};
}

void RelaySystem::onUpstreamNotice(const NoticeSource &source, const UpstreamNotice &notice,
                                   model::TimePoint now)
{
    if (source.upstream.isEmpty()) {
        return;
    }
    const UpstreamStarts starts = startsOf(source, notice);
    if (notice.rate) {
        noteRate(source, *notice.rate, starts.last, now);
    }
    if (notice.isEmpty()) {
        return;
    }
    const std::string incarnation = absl::StrCat("incarnation=", starts.last);
    if (notice.isLeaving && m_directory.noteLeaving(source.upstream, starts)) {
        ++m_counters.leavingNotices;
        m_commands.emplace_back(observability::Event {.code = EventCode::UpstreamSaidLeaving,
                                                      .request = source.request,
                                                      .subject = source.upstream.text(),
                                                      .detail = incarnation});
        m_commands.emplace_back(RecallCalls {.upstream = source.upstream});
        if (m_directory.find(source.upstream)) {
            m_commands.emplace_back(
                PublishLeavingUpstream {.upstream = source.upstream, .incarnation = starts.last});
        }
        runScheduler(now);
    }
    if (notice.rest > model::Duration::zero()) {
        const model::Duration spread = model::scaled(
            returnInterval * static_cast<int64_t>(m_peers.size()), m_random.uniformDouble());
        m_directory.noteRest(source.upstream, starts, now + notice.rest + spread);
        m_commands.emplace_back(RecallCalls {.upstream = source.upstream});
        ++m_counters.restNotices;
        m_commands.emplace_back(observability::Event {
            .code = EventCode::UpstreamAskedRest,
            .request = source.request,
            .subject = source.upstream.text(),
            .detail = absl::StrCat(incarnation, " restMs=", model::toMilliseconds(notice.rest),
                                   " spreadMs=", model::toMilliseconds(spread))});
    }
    if (notice.coldFor > model::Duration::zero()) {
        noteCold(source.upstream, notice.coldFor, "answer", now);
    }
    m_directory.noteAddress(source.upstream, source.address);
}

void RelaySystem::noteCold(const model::UpstreamId &id, model::Duration coldFor,
                           std::string_view source, model::TimePoint now)
{
    const Upstream *upstream = m_directory.find(id);
    const bool wasCold = upstream && upstream->isCold(now);
    m_directory.noteCold(id, now + coldFor);
    if (!upstream || wasCold || !upstream->isCold(now)) {
        return;
    }
    onBecameCold(*upstream, source, now);
}

// Calls that wait for a connection would all reach the upstream in the moment in which it is back.
void RelaySystem::onBecameCold(const Upstream &upstream, std::string_view source,
                               model::TimePoint now)
{
    m_commands.emplace_back(RecallCalls {.upstream = upstream.listing.id});
    m_commands.emplace_back(observability::Event {
        .code = EventCode::UpstreamCold,
        .request = {},
        .subject = upstream.listing.id.text(),
        .detail
        = absl::StrCat("source=", model::toAbsl(source),
                       " coldMs=", model::toMilliseconds(upstream.coldUntil - now),
                       " sender=", upstream.coldTurnAt < model::TimePoint::max() ? "yes" : "no")});
}

void RelaySystem::handleSuspects(model::TimePoint now)
{
    for (const model::UpstreamId &id : m_directory.takeSuspects()) {
        if (const Upstream *upstream = m_directory.find(id)) {
            onBecameCold(*upstream, "connection", now);
        }
    }
}

ListingChange RelaySystem::onUpstreamListed(const UpstreamListing &listing, model::TimePoint now)
{
    const ListingChange change = m_directory.apply(listing);
    m_hasNewListings = true;
    // An entry that was only written again has a later statement.
    if (change != ListingChange::Outdated && listing.coldFor > model::Duration::zero()) {
        noteCold(listing.id, listing.coldFor, "registry", now);
    }
    return change;
}

bool RelaySystem::onUpstreamRemoved(const model::UpstreamId &upstream)
{
    m_hasNewListings = true;
    return m_directory.remove(upstream);
}

// Requests that run in the zone go on. Calls that have not been sent yet are taken back.
void RelaySystem::onZoneEvacuated(const model::ZoneId &zone, model::TimePoint now)
{
    if (!m_directory.setEvacuated(zone, true, now)) {
        return;
    }
    m_hasNewListings = true;
    const std::vector<model::UpstreamId> upstreams = m_directory.inZone(zone);
    m_commands.emplace_back(
        observability::Event {.code = EventCode::ZoneEvacuated,
                              .request = {},
                              .subject = zone.text(),
                              .detail = absl::StrCat("upstreams=", upstreams.size())});
    for (const model::UpstreamId &upstream : upstreams) {
        m_commands.emplace_back(RecallCalls {.upstream = upstream});
    }
    runScheduler(now);
}

void RelaySystem::onZoneRestored(const model::ZoneId &zone, model::TimePoint now)
{
    if (!m_directory.setEvacuated(zone, false, now)) {
        return;
    }
    m_hasNewListings = true;
    m_commands.emplace_back(
        observability::Event {.code = EventCode::ZoneRestored,
                              .request = {},
                              .subject = zone.text(),
                              .detail = absl::StrCat("cold=", m_directory.coldCount(now))});
    runScheduler(now);
}

void RelaySystem::onPeerLeavingUpstream(const model::UpstreamId &upstream, uint64_t incarnation,
                                        model::TimePoint now)
{
    if (!m_directory.noteLeaving(upstream, {.last = incarnation, .recent = {}})) {
        return;
    }
    m_commands.emplace_back(
        observability::Event {.code = EventCode::UpstreamSaidLeaving,
                              .request = {},
                              .subject = upstream.text(),
                              .detail = absl::StrCat("incarnation=", incarnation, " source=peer")});
    runScheduler(now);
}

} // namespace citronpick::relay
