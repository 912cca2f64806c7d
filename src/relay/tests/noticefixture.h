#ifndef CITRONPICK_RELAY_TESTS_NOTICEFIXTURE_H
#define CITRONPICK_RELAY_TESTS_NOTICEFIXTURE_H

#include <set>

#include "relay/tests/relayfixture.h"

namespace citronpick::relay::testing
{

//! A daemon whose upstreams state something about themselves in their answers.
struct NoticeFixture : RelayFixture {
    static constexpr uint64_t firstStart = 1000000;

    explicit NoticeFixture(uint32_t upstreams = 2)
        : RelayFixture(0)
    {
        for (uint32_t i = 0; i < upstreams; ++i) {
            list(enginePool, absl::StrCat("e", i));
            list(deskPool, absl::StrCat("k", i));
            list(stagePool, absl::StrCat("s", i));
        }
    }

    ListingChange list(const model::PoolId &pool, const std::string &id,
                       uint64_t incarnation = firstStart, bool isLeaving = false)
    {
        return system.upstreams().apply({.id = model::UpstreamId(id),
                                         .pool = pool,
                                         .address = {.host = "10.0.0.1", .port = 80},
                                         .zone = model::ZoneId("a"),
                                         .slots = 4,
                                         .isLeaving = isLeaving,
                                         .incarnation = incarnation});
    }

    //! The upstream states this in an answer to a call that began while \a incarnation was listed.
    void notice(const std::string &id, UpstreamNotice content, uint64_t incarnation = firstStart)
    {
        system.onUpstreamNotice({.upstream = model::UpstreamId(id),
                                 .incarnation = incarnation,
                                 .request = model::CallerRequestId("c0")},
                                content, now);
        collect();
    }
    void sayLeaving(const std::string &id)
    {
        notice(id, {.isLeaving = true});
    }
    void askRest(const std::string &id, model::Duration rest)
    {
        notice(id, {.rest = rest});
    }

    //! The upstreams that get \a count requests; refused ones are left out.
    std::set<std::string> usedBy(const std::string &path, int count = 12)
    {
        std::set<std::string> used;
        for (int i = 0; i < count; ++i) {
            commands.clear();
            arrive(path);
            if (this->count<StartAttempt>() > 0) {
                used.insert(take<StartAttempt>().upstream.text());
            }
        }
        commands.clear();
        return used;
    }

    using Names = std::set<std::string>;
};

} // namespace citronpick::relay::testing

#endif // CITRONPICK_RELAY_TESTS_NOTICEFIXTURE_H
