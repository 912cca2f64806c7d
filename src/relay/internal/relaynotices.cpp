#include <algorithm>

#include <absl/strings/str_cat.h>

#include "relay/relaysystem.h"

// The part of RelaySystem that handles what upstreams state about themselves in their answers.

namespace citronpick::relay
{

using observability::EventCode;

// A request is not begun if all upstreams that could run one of its stages, or its end, leave.
bool RelaySystem::isServable(const Exchange &exchange) const
{
    const auto isServed = [this](const model::PoolId &pool) {
        return m_directory.inPool(pool).empty() || m_directory.hasStaying(pool);
    };
    const std::vector<StageRule> &stages = exchange.route->stages;
    for (uint32_t i = 0; i < stages.size(); ++i) {
        if (exchange.plan.pieceCount(i) > 0 && !isServed(stages[i].pool)) {
            return false;
        }
    }
    return isServed(exchange.pool);
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
    if (source.upstream.isEmpty() || notice.isEmpty()) {
        return;
    }
    const UpstreamStarts starts = startsOf(source, notice);
    const std::string incarnation = absl::StrCat("incarnation=", starts.last);
    if (notice.isLeaving && m_directory.noteLeaving(source.upstream, starts)) {
        ++m_counters.leavingNotices;
        m_commands.emplace_back(observability::Event {.code = EventCode::UpstreamSaidLeaving,
                                                      .request = source.request,
                                                      .subject = source.upstream.text(),
                                                      .detail = incarnation});
        if (m_directory.find(source.upstream)) {
            m_commands.emplace_back(
                PublishLeavingUpstream {.upstream = source.upstream, .incarnation = starts.last});
        }
        runScheduler(now);
    }
    if (notice.rest > model::Duration::zero()) {
        m_commands.emplace_back(observability::Event {
            .code = EventCode::UpstreamAskedRest,
            .request = source.request,
            .subject = source.upstream.text(),
            .detail = absl::StrCat(incarnation, " restMs=", model::toMilliseconds(notice.rest))});
    }
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
