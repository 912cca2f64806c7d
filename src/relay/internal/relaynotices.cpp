#include <absl/strings/str_cat.h>

#include "relay/relaysystem.h"

// The part of RelaySystem that handles what upstreams state about themselves in their answers.

namespace citronpick::relay
{

using observability::EventCode;

void RelaySystem::onUpstreamNotice(const NoticeSource &source, const UpstreamNotice &notice,
                                   model::TimePoint)
{
    const std::string incarnation = absl::StrCat("incarnation=", source.incarnation);
    if (notice.isLeaving) {
        m_commands.emplace_back(observability::Event {.code = EventCode::UpstreamSaidLeaving,
                                                      .request = source.request,
                                                      .subject = source.upstream.text(),
                                                      .detail = incarnation});
    }
    if (notice.rest > model::Duration::zero()) {
        m_commands.emplace_back(observability::Event {
            .code = EventCode::UpstreamAskedRest,
            .request = source.request,
            .subject = source.upstream.text(),
            .detail = absl::StrCat(incarnation, " restMs=", model::toMilliseconds(notice.rest))});
    }
}

} // namespace citronpick::relay
