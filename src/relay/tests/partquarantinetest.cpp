#include "relay/tests/relayfixture.h"

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

namespace
{

//! A daemon whose engines may crash, and whose reports reach other daemons.
struct ReportingFixture : RelayFixture {
    ReportingFixture()
        : RelayFixture(0)
    {
        constexpr int engines = 12;
        for (int i = 0; i < engines; ++i) {
            listUpstream(enginePool, absl::StrCat("e", i));
        }
    }

    model::RequestId prompt(const std::vector<std::string> &shared)
    {
        const model::RequestId id(++lastRequest);
        ArrivedRequest request {.request = id,
                                .callerId = model::CallerRequestId(absl::StrCat("c", id.value())),
                                .host = "example",
                                .path = "/stream/x",
                                .accountKey = "key",
                                .startedAt = now,
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
};

} // namespace

// Guards against deadly requests that pass again: an upstream's failure, such as the deadline that
// a request spent in its queue, does not show that the upstream survives an answer.
TEST_CASE("A failure from an upstream does not clear the parts of its request")
{
    ReportingFixture fixture;
    fixture.crash({"deadly"});
    fixture.advanceTime(milliseconds(600));
    fixture.crash({"deadly"});
    fixture.serve({"deadly"}, RelayFixture::success(504));
    fixture.advanceTime(milliseconds(600));
    fixture.crash({"deadly"});
    fixture.advanceTime(milliseconds(100));
    fixture.advanceTime(model::seconds(2));
    CHECK(fixture.isRefused({"deadly"}));
}

// Guards against a deadly part that is never found in a small pool whose upstreams keep their names
// when they return.
TEST_CASE("Each crash of an upstream that returned in between counts")
{
    ReportingFixture fixture;
    for (int i = 0; i < 12; ++i) {
        fixture.system.upstreams().remove(model::UpstreamId(absl::StrCat("e", i)));
    }
    for (uint64_t start = 1; start <= 3; ++start) {
        fixture.system.upstreams().apply(
            {.id = model::UpstreamId("e0"), .pool = enginePool, .slots = 4, .incarnation = start});
        fixture.crash({"deadly"});
        fixture.advanceTime(model::seconds(4));
    }
    fixture.advanceTime(milliseconds(100));
    fixture.advanceTime(model::seconds(2));
    CHECK(fixture.isRefused({"deadly"}));
}

// Guards against sound parts that are refused in a deployment with many sessions: the time of the
// last answer was forgotten in the order of the first answers.
TEST_CASE("The last answer of a part in use is kept while many other parts are answered")
{
    PartQuarantine quarantine;
    const model::Fingerprint used(1);
    model::TimePoint now {model::seconds(100)};
    uint64_t other = 100;
    const auto answerOthers = [&](int count) {
        for (int i = 0; i < count; ++i) {
            now += milliseconds(1);
            quarantine.addAnswer({model::Fingerprint(++other)}, now);
        }
    };
    quarantine.addAnswer({used}, now);
    answerOthers(8000);
    quarantine.addAnswer({used}, now);
    answerOthers(500);
    CHECK(quarantine.addPeerSuspicion(used, now - model::seconds(1), now));
}
