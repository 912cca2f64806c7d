#include <absl/strings/str_cat.h>

#include "model/abslview.h"
#include "relay/relaysystem.h"

// The part of RelaySystem that handles the rates that upstreams take from all daemons together.

namespace citronpick::relay
{

using observability::EventCode;

void RelaySystem::noteRate(const NoticeSource &source, const RateStatement &rate,
                           uint64_t incarnation, model::TimePoint now)
{
    Upstream *upstream = m_directory.find(source.upstream);
    if (!upstream) {
        return;
    }
    // Answers overtake each other: one to a call that began before the limit was last stated may
    // have been made before the upstream had a limit.
    const bool isOutdated = !rate.requestsPerSecond && upstream->limit
                            && source.startedAt <= upstream->limit->statedAt;
    if (isOutdated || (!rate.requestsPerSecond && !upstream->limit)) {
        return;
    }
    setRate(*upstream, rate,
            {.requestsPerSecond = rate.requestsPerSecond.value_or(0.0),
             .incarnation = incarnation,
             .statedAt = now},
            "answer", now);
    if (isPublicationDue(rate, upstream->publishedRate, now)) {
        upstream->publishedRate = {.rate = rate, .at = now};
        m_commands.emplace_back(PublishUpstreamRate {
            .upstream = source.upstream, .incarnation = incarnation, .rate = rate});
    }
}

void RelaySystem::onPeerUpstreamRate(const model::UpstreamId &id, uint64_t incarnation,
                                     const RateStatement &rate, model::Duration age,
                                     model::TimePoint now)
{
    Upstream *upstream = m_directory.find(id);
    if (!upstream || incarnation < upstream->listing.incarnation) {
        return;
    }
    const model::TimePoint statedAt = now - age;
    const model::TimePoint knownAt
        = upstream->limit ? upstream->limit->statedAt : upstream->publishedRate.at;
    if (statedAt <= knownAt) {
        return;
    }
    upstream->publishedRate = {.rate = rate, .at = statedAt};
    setRate(*upstream, rate,
            {.requestsPerSecond = rate.requestsPerSecond.value_or(0.0),
             .incarnation = incarnation,
             .statedAt = statedAt},
            "peer", now);
}

void RelaySystem::setRate(Upstream &upstream, const RateStatement &rate, const RateLimit &limit,
                          std::string_view source, model::TimePoint now)
{
    const model::UpstreamId &id = upstream.listing.id;
    const bool wasLimited = upstream.limit.has_value();
    if (!rate.requestsPerSecond) {
        if (m_directory.endLimit(id)) {
            m_commands.emplace_back(
                observability::Event {.code = EventCode::UpstreamUnlimited,
                                      .request = {},
                                      .subject = id.text(),
                                      .detail = absl::StrCat("source=", model::toAbsl(source))});
            runScheduler(now);
        }
        return;
    }
    const bool hasChanged = m_directory.setLimit(id, limit);
    if (!wasLimited) {
        ++m_counters.limitNotices;
        m_commands.emplace_back(RecallCalls {.upstream = id});
    }
    if (hasChanged) {
        m_commands.emplace_back(observability::Event {
            .code = EventCode::UpstreamLimited,
            .request = {},
            .subject = id.text(),
            .detail
            = absl::StrCat("source=", model::toAbsl(source), " perSecond=", limit.requestsPerSecond,
                           " ageMs=", model::toMilliseconds(now - limit.statedAt),
                           " sender=", upstream.limitShare.isSender ? "yes" : "no",
                           " intervalMs=", model::toMilliseconds(upstream.limitShare.interval))});
    }
}

} // namespace citronpick::relay
