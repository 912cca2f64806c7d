#ifndef CITRONPICK_RELAY_TESTS_RELAYFIXTURE_H
#define CITRONPICK_RELAY_TESTS_RELAYFIXTURE_H

#include <catch2/catch.hpp>

#include <absl/strings/str_cat.h>

#include "relay/relaysystem.h"

namespace citronpick::relay::testing
{

using model::milliseconds;

inline const model::PoolId enginePool("engines");
inline const model::PoolId deskPool("desk");
inline const model::PoolId stagePool("stages");

//! A daemon with an engine pool, a desk pool and a stage pool, driven by a manual clock.
struct RelayFixture {
    explicit RelayFixture(uint32_t upstreams = 3)
        : system({.daemon = model::DaemonId("d1"),
                  .zone = model::ZoneId("a"),
                  .retries = {.ratio = 0.2, .slack = 50.0, .window = model::seconds(10)}})
    {
        system.setConfiguration(configuration(1));
        for (uint32_t i = 0; i < upstreams; ++i) {
            listUpstream(enginePool, absl::StrCat("e", i));
            listUpstream(deskPool, absl::StrCat("k", i));
            listUpstream(stagePool, absl::StrCat("s", i));
        }
    }

    static RouteRule route(const std::string &prefix, RequestKind kind, model::PoolId pool)
    {
        return {.id = model::RouteId(prefix),
                .host = "example",
                .prefix = prefix,
                .kind = kind,
                .timeout = model::seconds(8),
                .latencyTarget = model::seconds(2),
                .pauseTarget = milliseconds(400),
                .maxAttempts
                = kind == RequestKind::Stream || kind == RequestKind::AtMostOnce ? 1U : 2U,
                .pools = {{.pool = std::move(pool)}}};
    }

    static RelayConfigurationPtr configuration(uint64_t revision)
    {
        ConfigurationContent content {.revision = model::Revision(revision)};
        content.routes = {route("/safe/", RequestKind::Idempotent, deskPool),
                          route("/once/", RequestKind::AtMostOnce, deskPool),
                          route("/stream/", RequestKind::Stream, enginePool),
                          route("/resume/", RequestKind::ResumableStream, enginePool),
                          route("/staged/", RequestKind::Stream, enginePool),
                          route("/open/", RequestKind::Idempotent, deskPool)};
        content.routes[4].stages = {{.pool = stagePool}, {.pool = stagePool, .after = {0}}};
        content.routes[5].isPublic = true;
        content.pools = {{.id = enginePool},
                         {.id = deskPool},
                         {.id = stagePool,
                          .batch = BatchRule {.maxItems = 8,
                                              .callTime = milliseconds(200),
                                              .itemTime = milliseconds(20),
                                              .resultLifetime = model::seconds(4)}}};
        content.accounts
            = {{.id = model::AccountId("account"), .keys = {"key"}, .priority = std::nullopt}};
        return std::make_shared<RelayConfiguration>(std::move(content));
    }

    void listUpstream(const model::PoolId &pool, const std::string &id, bool isLeaving = false)
    {
        system.upstreams().apply({.id = model::UpstreamId(id),
                                  .pool = pool,
                                  .address = {.host = "10.0.0.1", .port = 80},
                                  .zone = model::ZoneId("a"),
                                  .slots = 4,
                                  .isLeaving = isLeaving});
    }

    model::RequestId arrive(const std::string &path, std::optional<std::string> key = "key",
                            std::optional<model::Duration> timeLeft = std::nullopt,
                            uint64_t fingerprint = 0)
    {
        const model::RequestId id(++lastRequest);
        system.onRequestArrived({.request = id,
                                 .callerId = model::CallerRequestId(absl::StrCat("c", id.value())),
                                 .host = "example",
                                 .path = path,
                                 .accountKey = std::move(key),
                                 .timeLeft = timeLeft,
                                 .startedAt = now,
                                 .pieceKey = "piece",
                                 .fingerprint = model::Fingerprint(fingerprint)},
                                now);
        collect();
        return id;
    }

    void collect()
    {
        for (RelayCommand &command : system.takeCommands()) {
            if (!std::holds_alternative<observability::Event>(command)) {
                commands.push_back(std::move(command));
            }
        }
    }

    void advanceTime(model::Duration time)
    {
        now += time;
        system.run(now);
        collect();
    }

    //! Removes and returns the oldest collected command of a type.
    template<typename Command>
    Command take()
    {
        for (auto it = commands.begin(); it != commands.end(); ++it) {
            if (const auto *found = std::get_if<Command>(&*it)) {
                const Command result = *found;
                commands.erase(it);
                return result;
            }
        }
        FAIL("no such command");
        return {};
    }

    template<typename Command>
    size_t count() const
    {
        return static_cast<size_t>(
            std::count_if(commands.begin(), commands.end(), [](const RelayCommand &command) {
                return std::holds_alternative<Command>(command);
            }));
    }

    void head(model::AttemptId attempt, AnswerFacts facts)
    {
        system.onAttemptHead(attempt, facts, now);
        collect();
    }
    void end(model::AttemptId attempt)
    {
        system.onAttemptEnd(attempt, now);
        collect();
    }
    void answer(model::AttemptId attempt, AnswerFacts facts)
    {
        head(attempt, facts);
        end(attempt);
    }
    void fail(model::AttemptId attempt, AttemptFailure failure, const std::string &lastEvent = {})
    {
        system.onAttemptFailed(attempt, failure, lastEvent, now);
        collect();
    }
    void answerBatch(ItemFailure failure = ItemFailure::None)
    {
        const auto batch = take<RunBatch>();
        std::vector<ItemOutcome> outcomes;
        for (const BatchItem &item : batch.items) {
            outcomes.push_back(
                {.failure = failure, .handle = absl::StrCat("h", item.stage, "/", ++lastHandle)});
        }
        system.onBatchAnswered(batch.batch, outcomes, now);
        collect();
    }

    static AnswerFacts success(uint16_t status = 200)
    {
        return {
            .status = status, .hasProvenance = true, .matchesRequest = true, .isEventStream = true};
    }
    static AnswerFacts notRun(uint16_t status = 503)
    {
        return {.status = status, .wasNotRun = true};
    }

    model::TimePoint now {model::seconds(100)};
    RelaySystem system;
    std::vector<RelayCommand> commands;
    uint64_t lastRequest = 0;
    int lastHandle = 0;
};

} // namespace citronpick::relay::testing

#endif // CITRONPICK_RELAY_TESTS_RELAYFIXTURE_H
