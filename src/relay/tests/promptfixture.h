#ifndef CITRONPICK_RELAY_TESTS_PROMPTFIXTURE_H
#define CITRONPICK_RELAY_TESTS_PROMPTFIXTURE_H

#include "relay/tests/relayfixture.h"

namespace citronpick::relay::testing
{

//! Requests with prompts at a daemon with upstreams that may crash under them.
struct PromptFixture : RelayFixture {
    PromptFixture()
        : RelayFixture(0)
    {
        constexpr int engines = 12;
        for (int i = 0; i < engines; ++i) {
            listUpstream(enginePool, absl::StrCat("e", i));
        }
        listUpstream(stagePool, "s0");
    }

    //! Sends a request with these shared parts; no two requests are alike.
    model::RequestId prompt(const std::vector<std::string> &shared,
                            const std::string &path = "/stream/x")
    {
        const model::RequestId id(++lastRequest);
        ArrivedRequest request {.request = id,
                                .callerId = model::CallerRequestId(absl::StrCat("c", id.value())),
                                .host = "example",
                                .path = path,
                                .accountKey = "key",
                                .startedAt = now,
                                .pieceKey = "piece",
                                .fingerprint = model::Fingerprint(1000 + id.value())};
        for (const std::string &part : shared) {
            request.promptParts.push_back({.id = part, .tokens = 100});
        }
        request.promptParts.push_back({.id = absl::StrCat("own", id.value()), .tokens = 100});
        system.onRequestArrived(std::move(request), now);
        collect();
        return id;
    }

    //! Sends a request whose upstream crashes after it has begun to answer.
    void crash(const std::vector<std::string> &shared)
    {
        prompt(shared);
        const auto attempt = take<StartAttempt>();
        head(attempt.attempt, success());
        system.upstreams().remove(attempt.upstream);
        fail(attempt.attempt, AttemptFailure::Broken);
    }

    //! Sends a request whose answer goes on for a while after its first event.
    model::AttemptId streamFor(const std::vector<std::string> &shared, model::Duration time)
    {
        prompt(shared);
        const auto attempt = take<StartAttempt>();
        head(attempt.attempt, success());
        progress(attempt.attempt);
        advanceTime(time);
        progress(attempt.attempt);
        return attempt.attempt;
    }

    void progress(model::AttemptId attempt)
    {
        system.onAttemptProgress(attempt, {}, now);
        collect();
    }

    //! Sends a request that is answered.
    void serve(const std::vector<std::string> &shared, AnswerFacts facts = success())
    {
        prompt(shared);
        answer(take<StartAttempt>().attempt, facts);
    }

    bool isRefused(const std::vector<std::string> &shared)
    {
        commands.clear();
        prompt(shared);
        return count<StartAttempt>() == 0 && take<RefuseRequest>().refusal == Refusal::Quarantined;
    }

    //! Another daemon reports that a request with these parts crashed an upstream \a age ago.
    void reportCrash(const std::vector<std::string> &shared, const std::string &upstream,
                     model::Duration age = {})
    {
        system.onPeerPartCrash(
            {.parts = fingerprints(shared), .upstream = model::UpstreamId(upstream)}, age, now);
        advanceTime({});
    }
    //! Requests with these parts crash three upstreams one after the other.
    void reportCrashes(const std::vector<std::string> &shared)
    {
        for (const char *upstream : {"a", "b", "c"}) {
            reportCrash(shared, upstream);
            advanceTime(milliseconds(upstream[0] == 'c' ? 0 : 600));
        }
    }
    //! Lets the time pass in which answers may disprove a suspicion.
    void passObjectionTime()
    {
        advanceTime(milliseconds(1500));
    }

    static model::Fingerprint fingerprint(const std::string &part)
    {
        return fingerprints({part}).front();
    }
    static PartFingerprints fingerprints(const std::vector<std::string> &shared)
    {
        std::vector<PromptPart> parts;
        for (const std::string &part : shared) {
            parts.push_back({.id = part});
        }
        parts.push_back({.id = "own"});
        return sharedParts(parts);
    }
};

} // namespace citronpick::relay::testing

#endif // CITRONPICK_RELAY_TESTS_PROMPTFIXTURE_H
