#ifndef CITRONPICK_RELAY_TESTS_BATCHFIXTURE_H
#define CITRONPICK_RELAY_TESTS_BATCHFIXTURE_H

#include <catch2/catch.hpp>

#include <absl/strings/str_cat.h>

#include "relay/batchscheduler.h"

namespace citronpick::relay::testing
{

using model::milliseconds;

inline const model::PoolId pool("stages");

//! A scheduler for one pool whose upstreams run batches of up to eight pieces. A batch takes 200 ms
//! plus 20 ms per piece.
struct BatchFixture {
    explicit BatchFixture(std::vector<std::string> zones = {"a"})
    {
        ConfigurationContent content {.revision = model::Revision(1)};
        content.pools.push_back({.id = pool,
                                 .batch = BatchRule {.slots = 1,
                                                     .maxItems = 8,
                                                     .callTime = milliseconds(200),
                                                     .itemTime = milliseconds(20),

                                                     .resultLifetime = model::seconds(4)}});
        scheduler.setConfiguration(std::make_shared<RelayConfiguration>(std::move(content)));
        for (size_t i = 0; i < zones.size(); ++i) {
            directory.apply({.id = model::UpstreamId(absl::StrCat("u", i)),
                             .pool = pool,
                             .address = {.host = "10.0.0.1", .port = 80},
                             .zone = model::ZoneId(zones[i])});
        }
    }

    JobId submit(uint32_t pieces, model::Duration due = model::seconds(2), std::string zone = {},
                 model::Duration deadline = model::seconds(8))
    {
        return scheduler.submit({.pool = pool,
                                 .request = model::CallerRequestId(absl::StrCat("r", ++requests)),
                                 .pieceCount = pieces,
                                 .key = "k",
                                 .due = now + due,
                                 .deadline = now + deadline,
                                 .preferredZone = model::ZoneId(std::move(zone))},
                                now);
    }

    std::vector<RunBatch> takeBatches()
    {
        std::vector<RunBatch> found;
        for (const BatchCommand &command : scheduler.takeCommands()) {
            if (const auto *batch = std::get_if<RunBatch>(&command)) {
                found.push_back(*batch);
            }
        }
        return found;
    }

    RunBatch takeBatch()
    {
        const std::vector<RunBatch> found = takeBatches();
        REQUIRE(found.size() == 1);
        return found.front();
    }

    void answer(const RunBatch &batch, ItemFailure failure = ItemFailure::None)
    {
        std::vector<ItemOutcome> outcomes;
        for (const BatchItem &item : batch.items) {
            outcomes.push_back(
                {.failure = failure, .handle = absl::StrCat(item.request.text(), "/", item.piece)});
        }
        scheduler.onAnswered(batch.batch, outcomes, now);
    }

    void advanceTime(model::Duration time)
    {
        now += time;
        scheduler.run(now);
    }

    UpstreamDirectory directory;
    BatchScheduler scheduler {directory};
    model::TimePoint now {model::seconds(100)};
    int requests = 0;
};

inline std::vector<std::string> requestsOf(const RunBatch &batch)
{
    std::vector<std::string> names;
    for (const BatchItem &item : batch.items) {
        names.push_back(item.request.text());
    }
    return names;
}

using Names = std::vector<std::string>;

} // namespace citronpick::relay::testing

#endif // CITRONPICK_RELAY_TESTS_BATCHFIXTURE_H
