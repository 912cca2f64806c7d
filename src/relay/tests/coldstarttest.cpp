#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

#include <absl/strings/str_cat.h>

#include "model/random.h"
#include "relay/tests/relayfixture.h"

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

namespace
{

constexpr double tolerated = 9.0;
constexpr double overshoot = 1.5;
constexpr double slack = 5.0;
//! Requests that may reach one cold upstream in any second.
constexpr size_t limit = 18;
//! Half of it, less the margin for calls that are sent late.
constexpr double wanted = 9.0 / 1.05 - 0.1;
//! A whole number of the intervals at which daemons send.
constexpr model::Duration measuredTime = model::seconds(21);
constexpr model::Duration window = model::seconds(1);

model::DaemonId daemonName(size_t index)
{
    return model::DaemonId(absl::StrCat("d", index));
}

RelayConfigurationPtr coldConfiguration()
{
    ConfigurationContent content = RelayFixture::configuration(1)->content();
    content.pools[0].coldStart
        = ColdStartRule {.duration = model::seconds(3), .requestsPerSecond = tolerated};
    return std::make_shared<RelayConfiguration>(std::move(content));
}

//! The directories of a fleet's daemons. Each one always has work for each of the cold upstreams
//! and sends as soon as its directory allows that.
class ColdFleet
{
public:
    ColdFleet(size_t daemons, size_t upstreams, uint64_t seed)
        // A small fleet sends at shorter intervals.
        : m_step(daemons > 10 ? milliseconds(25) : milliseconds(1))
        , m_upstreams(upstreams)
        , m_random(seed)
        , m_sent(upstreams)
        , m_counts(upstreams)
    {
        for (size_t i = 0; i < daemons; ++i) {
            m_alive.insert(i);
            start(i);
        }
        std::set<size_t> all = m_alive;
        for (auto &[index, daemon] : m_daemons) {
            show(index, all);
        }
        // All daemons have run for long when the first upstream becomes cold.
        m_now += model::seconds(20);
        runAll();
    }

    //! The daemons change; each other one learns of it within two seconds.
    void setAlive(const std::set<size_t> &alive)
    {
        for (const size_t index : alive) {
            if (!m_alive.contains(index)) {
                start(index);
            }
        }
        m_alive = alive;
        std::erase_if(m_daemons, [&](const auto &entry) { return !alive.contains(entry.first); });
        for (auto &[index, daemon] : m_daemons) {
            showLater(index, alive);
        }
    }
    //! No daemon of a part sees those of the other part.
    void part(const std::set<size_t> &first)
    {
        for (auto &[index, daemon] : m_daemons) {
            std::set<size_t> seen;
            for (const size_t other : m_alive) {
                if (first.contains(other) == first.contains(index)) {
                    seen.insert(other);
                }
            }
            showLater(index, seen);
        }
    }
    void heal()
    {
        setAlive(m_alive);
    }

    void run(model::Duration time)
    {
        for (const model::TimePoint end = m_now + time; m_now < end;) {
            m_now += m_step;
            runAll();
            send();
        }
    }

    size_t mostInAnySecond() const
    {
        return m_most;
    }
    //! Requests per second, over the given time, to the upstream that gets the fewest.
    double fewestPerSecond(model::Duration time)
    {
        std::fill(m_counts.begin(), m_counts.end(), 0);
        run(time);
        return static_cast<double>(*std::min_element(m_counts.begin(), m_counts.end()))
               / model::toSeconds(time);
    }
    const std::set<size_t> &alive() const
    {
        return m_alive;
    }
    model::Random &random()
    {
        return m_random;
    }

private:
    struct Daemon {
        std::unique_ptr<UpstreamDirectory> directory;
        std::map<model::TimePoint, std::set<size_t>> views; //!< What it will see, by time.
    };

    void start(size_t index)
    {
        Daemon &daemon = m_daemons[index];
        daemon.directory = std::make_unique<UpstreamDirectory>(
            ColdStartOptions {.daemon = daemonName(index), .overshoot = overshoot, .slack = slack});
        daemon.directory->setConfiguration(coldConfiguration());
        for (size_t i = 0; i < m_upstreams; ++i) {
            const model::UpstreamId id(absl::StrCat("e", i));
            daemon.directory->apply({.id = id, .pool = enginePool, .incarnation = 1});
            daemon.directory->noteCold(id, model::TimePoint::max());
        }
        show(index, {index});
    }

    void showLater(size_t index, std::set<size_t> seen)
    {
        const model::Duration lag = milliseconds(m_random.below(2000));
        m_daemons.at(index).views[m_now + lag] = std::move(seen);
    }

    void show(size_t index, const std::set<size_t> &seen)
    {
        std::vector<model::DaemonId> names;
        for (const size_t other : seen) {
            names.push_back(daemonName(other));
        }
        m_daemons.at(index).directory->setDaemons(std::move(names), m_now);
    }

    void runAll()
    {
        for (auto &[index, daemon] : m_daemons) {
            while (!daemon.views.empty() && daemon.views.begin()->first <= m_now) {
                show(index, daemon.views.begin()->second);
                daemon.views.erase(daemon.views.begin());
            }
            daemon.directory->run(m_now);
        }
    }

    void send()
    {
        for (size_t i = 0; i < m_upstreams; ++i) {
            const model::UpstreamId id(absl::StrCat("e", i));
            std::deque<model::TimePoint> &sent = m_sent[i];
            while (!sent.empty() && m_now - sent.front() >= window) {
                sent.pop_front();
            }
            for (auto &[index, daemon] : m_daemons) {
                Upstream &upstream = *daemon.directory->find(id);
                if (UpstreamDirectory::isAvailable(upstream, m_now)) {
                    UpstreamDirectory::noteStarted(upstream, m_now);
                    sent.push_back(m_now);
                    ++m_counts[i];
                }
            }
            m_most = std::max(m_most, sent.size());
        }
    }

    model::Duration m_step;
    size_t m_upstreams;
    model::Random m_random;
    model::TimePoint m_now {model::seconds(100)};
    std::set<size_t> m_alive;
    std::map<size_t, Daemon> m_daemons;
    std::vector<std::deque<model::TimePoint>> m_sent;
    std::vector<size_t> m_counts; //!< Requests to each upstream.
    size_t m_most = 0;
};

std::set<size_t> someOf(const std::set<size_t> &all, double share, model::Random &random)
{
    std::set<size_t> chosen;
    for (const size_t each : all) {
        if (random.uniformDouble() < share) {
            chosen.insert(each);
        }
    }
    return chosen;
}

} // namespace

// Guards against upstreams that crash after their start because each daemon of a fleet sends a
// little to them.
TEST_CASE("Load pattern: a whole fleet has work for upstreams that are cold")
{
    const size_t daemons = GENERATE(1, 6, 80, 300);
    const size_t upstreams = GENERATE(1, 40);
    CAPTURE(daemons, upstreams);
    ColdFleet fleet(daemons, upstreams, 1);
    CHECK(fleet.fewestPerSecond(measuredTime) >= wanted);
    CHECK(fleet.mostInAnySecond() <= limit);
}

// Guards against a limit that holds only as long as all daemons know the same members.
TEST_CASE("Load pattern: members of a fleet come, go and are parted while upstreams are cold")
{
    const size_t daemons = GENERATE(6, 80);
    const uint64_t seed = GENERATE(range(1, 9));
    CAPTURE(daemons, seed);
    ColdFleet fleet(daemons, 5, seed);
    std::set<size_t> all = fleet.alive();
    for (int i = 0; i < 6; ++i) {
        switch (fleet.random().below(4)) {
        case 0: // Some crash, and are back after seconds.
            fleet.setAlive(someOf(all, 0.5, fleet.random()));
            fleet.run(milliseconds(fleet.random().below(4000)));
            fleet.setAlive(all);
            break;
        case 1:
            fleet.part(someOf(all, 0.5, fleet.random()));
            fleet.run(milliseconds(fleet.random().below(15'000)));
            fleet.heal();
            break;
        case 2:
            for (size_t added = 0; added < daemons / 10; ++added) {
                all.insert(all.size());
            }
            fleet.setAlive(all);
            break;
        default: // A few leave for good.
            all = someOf(all, 0.9, fleet.random());
            all.insert(0);
            fleet.setAlive(all);
            break;
        }
        fleet.run(milliseconds(fleet.random().below(5000)));
    }
    // Lost daemons keep their part for ten seconds, new ones take theirs within seven.
    fleet.run(model::seconds(14));
    CHECK(fleet.fewestPerSecond(measuredTime) >= wanted);
    CHECK(fleet.mostInAnySecond() <= limit);
}

// Guards against a fleet that starts as a whole: each daemon knows only itself then.
TEST_CASE("Load pattern: all daemons start while an upstream is cold")
{
    ColdFleet fleet(80, 3, 7);
    const std::set<size_t> all = fleet.alive();
    fleet.setAlive({});
    fleet.run(milliseconds(500));
    fleet.setAlive(all);
    fleet.run(model::seconds(20));
    CHECK(fleet.fewestPerSecond(measuredTime) >= wanted);
    CHECK(fleet.mostInAnySecond() <= limit);
}

TEST_CASE("A cold upstream is chosen again once its turn comes, and fully when it is warm")
{
    RelayFixture fixture(0);
    UpstreamDirectory &directory = fixture.system.upstreams();
    directory.setConfiguration(coldConfiguration());
    directory.setDaemons({daemonName(1)}, fixture.now);
    fixture.advanceTime(model::seconds(3));
    fixture.listUpstream(enginePool, "e0");
    directory.noteCold(model::UpstreamId("e0"), fixture.now + model::seconds(3));
    // Alone, with no slack in its options, the daemon may send half of nine requests a second.
    fixture.arrive("/stream/x");
    CHECK(fixture.count<StartAttempt>() == 1);
    fixture.arrive("/stream/x");
    const auto refusal = fixture.take<RefuseRequest>();
    CHECK(refusal.refusal == Refusal::NoUpstream);
    CHECK(refusal.retryAfter <= milliseconds(263));
    fixture.advanceTime(refusal.retryAfter);
    fixture.arrive("/stream/x");
    CHECK(fixture.count<StartAttempt>() == 2);
    fixture.advanceTime(model::seconds(3));
    for (int i = 0; i < 5; ++i) {
        fixture.arrive("/stream/x");
    }
    CHECK(fixture.count<StartAttempt>() == 7);
}

// Guards against a herd at an upstream that crashed, before the registry shows its new start.
TEST_CASE("An upstream whose connection broke counts as cold for a while")
{
    RelayFixture fixture(0);
    UpstreamDirectory &directory = fixture.system.upstreams();
    directory.setConfiguration(coldConfiguration());
    fixture.listUpstream(enginePool, "e0");
    fixture.listUpstream(enginePool, "e1");
    fixture.arrive("/resume/x");
    const auto first = fixture.take<StartAttempt>();
    fixture.fail(first.attempt, AttemptFailure::Broken);
    CHECK(directory.find(first.upstream)->isCold(fixture.now));
    CHECK_FALSE(directory.find(fixture.take<StartAttempt>().upstream)->isCold(fixture.now));
    fixture.advanceTime(model::seconds(5));
    CHECK_FALSE(directory.find(first.upstream)->isCold(fixture.now));
}

TEST_CASE("Upstreams of a pool without a limit for cold ones are never cold")
{
    RelayFixture fixture;
    fixture.system.onUpstreamListed(
        {.id = model::UpstreamId("e9"), .pool = enginePool, .coldFor = model::seconds(3)},
        fixture.now);
    CHECK(fixture.system.upstreams().coldCount(fixture.now) == 0);
}

TEST_CASE("An upstream is cold from a statement in its entry or in an answer")
{
    RelayFixture fixture(0);
    UpstreamDirectory &directory = fixture.system.upstreams();
    directory.setConfiguration(coldConfiguration());
    UpstreamListing listing {.id = model::UpstreamId("e0"),
                             .pool = enginePool,
                             .coldFor = model::seconds(2),
                             .incarnation = 1};
    fixture.system.onUpstreamListed(listing, fixture.now);
    CHECK(directory.coldCount(fixture.now + milliseconds(1999)) == 1);
    CHECK(directory.coldCount(fixture.now + model::seconds(2)) == 0);
    fixture.system.onUpstreamNotice({.upstream = listing.id}, {.coldFor = model::seconds(3)},
                                    fixture.now);
    CHECK(directory.coldCount(fixture.now + milliseconds(2999)) == 1);
    listing.incarnation = 2;
    listing.coldFor = {};
    fixture.system.onUpstreamListed(listing, fixture.now);
    CHECK(directory.coldCount(fixture.now) == 0);
}
