#include "relay/tests/relayfixture.h"

#include <algorithm>
#include <map>

#include "model/hash.h"

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

namespace
{

constexpr size_t fleetSize = 6;
constexpr int upstreamCount = 2;
constexpr model::Duration step = milliseconds(10);

PeerDaemon daemonAt(size_t index)
{
    return {.id = model::DaemonId(absl::StrCat("d", index)),
            .address = absl::StrCat("10.0.0.", index, ":1")};
}

//! The daemon that schedules the stage pool for all that know these members.
size_t coordinatorAmong(const std::vector<size_t> &members)
{
    const uint64_t seed = model::hash64(stagePool.text());
    return *std::max_element(members.begin(), members.end(), [seed](size_t left, size_t right) {
        return model::hash64(daemonAt(left).id.text(), seed)
               < model::hash64(daemonAt(right).id.text(), seed);
    });
}

//! Daemons that exchange stage jobs, and stage upstreams that run one batch at a time and refuse
//! all others.
class StageFleet
{
public:
    StageFleet()
    {
        for (size_t i = 0; i < fleetSize; ++i) {
            auto system = std::make_unique<RelaySystem>(RelayOptions {.daemon = daemonAt(i).id});
            system->setConfiguration(RelayFixture::configuration(1));
            for (int s = 0; s < upstreamCount; ++s) {
                system->upstreams().apply({.id = model::UpstreamId(absl::StrCat("s", s)),
                                           .pool = stagePool,
                                           .address = {.host = "10.0.1.1", .port = 80}});
            }
            m_daemons.push_back(std::move(system));
        }
    }

    void show(size_t daemon, const std::vector<size_t> &members)
    {
        std::vector<PeerDaemon> peers;
        for (const size_t member : members) {
            peers.push_back(daemonAt(member));
        }
        m_daemons[daemon]->setPeers(std::move(peers), m_now);
    }

    void arrive(size_t daemon, uint32_t pieces)
    {
        const uint64_t id = ++m_lastRequest;
        m_daemons[daemon]->onRequestArrived(
            {.request = model::RequestId(id),
             .callerId = model::CallerRequestId(absl::StrCat("c", id)),
             .host = "example",
             .path = "/staged/x",
             .accountKey = "key",
             .startedAt = m_now,
             .pieceCounts = {pieces, 0},
             .pieceKey = "piece"},
            m_now);
    }

    void advanceTime(model::Duration time)
    {
        for (const model::TimePoint end = m_now + time; m_now < end; m_now += step) {
            endBatches();
            for (size_t i = 0; i < fleetSize; ++i) {
                m_daemons[i]->run(m_now);
                execute(i);
            }
        }
    }

    RelaySystem &daemon(size_t index)
    {
        return *m_daemons[index];
    }

    size_t started = 0; //!< Batches that upstreams ran.
    size_t refused = 0; //!< Batches that upstreams had no room for.
    size_t forwards = 0;
    std::vector<size_t> batchesOf
        = std::vector<size_t>(fleetSize); //!< By daemon, refused ones too.

private:
    struct Running {
        size_t daemon = 0;
        RunBatch batch;
        model::TimePoint endsAt;
    };
    struct Forward {
        size_t from = 0;
        JobId job;
    };

    void endBatches()
    {
        for (auto it = m_running.begin(); it != m_running.end();) {
            if (m_now < it->second.endsAt) {
                ++it;
                continue;
            }
            const Running ended = it->second;
            it = m_running.erase(it);
            std::vector<ItemOutcome> outcomes;
            for (size_t i = 0; i < ended.batch.items.size(); ++i) {
                outcomes.push_back(
                    {.failure = ItemFailure::None, .handle = absl::StrCat("h", ++m_lastHandle)});
            }
            m_daemons[ended.daemon]->onBatchAnswered(ended.batch.batch, outcomes, m_now);
            execute(ended.daemon);
        }
    }

    void execute(size_t index)
    {
        for (RelayCommand &command : m_daemons[index]->takeCommands()) {
            if (const auto *batch = std::get_if<RunBatch>(&command)) {
                run(index, *batch);
            } else if (const auto *forward = std::get_if<ForwardJob>(&command)) {
                deliver(index, *forward);
            } else if (const auto *answer = std::get_if<AnswerPeer>(&command)) {
                const Forward forward = m_forwards.at(answer->exchange);
                m_daemons[forward.from]->onForwardAnswered(forward.job, answer->result, m_now);
                execute(forward.from);
            } else if (const auto *cancel = std::get_if<CancelForwardedJob>(&command)) {
                disconnect(index, cancel->job);
            }
        }
    }

    void run(size_t index, const RunBatch &batch)
    {
        ++batchesOf[index];
        const model::Duration time
            = milliseconds(200) + milliseconds(20) * static_cast<int64_t>(batch.items.size());
        const bool isStarted
            = m_running
                  .emplace(batch.upstream,
                           Running {.daemon = index, .batch = batch, .endsAt = m_now + time})
                  .second;
        ++(isStarted ? started : refused);
        if (!isStarted) {
            m_daemons[index]->onBatchRefused(batch.batch, m_now);
            execute(index);
        }
    }

    void deliver(size_t index, const ForwardJob &forward)
    {
        ++forwards;
        const uint64_t exchange = ++m_lastExchange;
        m_forwards[exchange] = {.from = index, .job = forward.job};
        for (size_t i = 0; i < fleetSize; ++i) {
            if (daemonAt(i).id == forward.peer.id) {
                m_daemons[i]->onPeerJob(exchange, forward.content, m_now);
                execute(i);
            }
        }
    }

    void disconnect(size_t index, JobId job)
    {
        for (const auto &[exchange, forward] : m_forwards) {
            if (forward.from == index && forward.job == job) {
                for (const std::unique_ptr<RelaySystem> &daemon : m_daemons) {
                    daemon->onPeerDisconnected(exchange);
                }
            }
        }
    }

    model::TimePoint m_now {model::seconds(100)};
    std::vector<std::unique_ptr<RelaySystem>> m_daemons;
    std::map<model::UpstreamId, Running> m_running;
    std::map<uint64_t, Forward> m_forwards;
    uint64_t m_lastRequest = 0;
    uint64_t m_lastExchange = 0;
    int m_lastHandle = 0;
};

std::vector<size_t> everyone()
{
    std::vector<size_t> members;
    for (size_t i = 0; i < fleetSize; ++i) {
        members.push_back(i);
    }
    return members;
}

//! Daemons that have just started each know themselves and have a queue.
void queueAlone(StageFleet &fleet)
{
    for (size_t i = 0; i < fleetSize; ++i) {
        fleet.show(i, {i});
        for (int request = 0; request < 4; ++request) {
            fleet.arrive(i, 4);
        }
    }
}

} // namespace

// Guards against daemons that go on competing for a pool's upstreams with the queues that they
// gathered before they learnt of its coordinator.
TEST_CASE("Load pattern: schedulers that meet after a restart leave their queues to one of them")
{
    StageFleet fleet;
    queueAlone(fleet);
    fleet.advanceTime(milliseconds(300));
    for (const size_t daemon : everyone()) {
        fleet.show(daemon, everyone());
    }
    fleet.advanceTime(milliseconds(400));
    // The batches that the daemons began alone have ended by now.
    const size_t refusedBefore = fleet.refused;
    const size_t startedBefore = fleet.started;
    const std::vector<size_t> batchesBefore = fleet.batchesOf;
    fleet.advanceTime(model::seconds(2));
    CHECK(fleet.refused == refusedBefore);
    CHECK(fleet.started > startedBefore);
    for (const size_t daemon : everyone()) {
        if (daemon != coordinatorAmong(everyone())) {
            CHECK(fleet.batchesOf[daemon] == batchesBefore[daemon]);
        }
    }
}

// Guards against a second scheduler for as long as some daemons know few members.
TEST_CASE("Load pattern: a job for a daemon that knows a better coordinator is passed on to it")
{
    const size_t first = coordinatorAmong(everyone());
    std::vector<size_t> others = everyone();
    std::erase(others, first);
    const size_t second = coordinatorAmong(others);
    std::erase(others, second);
    StageFleet fleet;
    for (const size_t daemon : everyone()) {
        fleet.show(daemon, everyone());
    }
    fleet.show(others[0], {others[0], second});
    fleet.arrive(others[0], 4);
    fleet.advanceTime(milliseconds(100));
    CHECK(fleet.forwards == 2);
    CHECK(fleet.batchesOf[first] == 1);
    CHECK(fleet.batchesOf[second] == 0);
    // The request ends as if its job had been forwarded directly.
    fleet.advanceTime(milliseconds(400));
    CHECK(fleet.daemon(others[0]).requestCount() == 0);
    CHECK(fleet.daemon(second).batchCounters().unusedResults == 0);
}

// Guards against jobs that go round between daemons whose lists of members contradict each other.
TEST_CASE("A job is passed on once at most")
{
    const size_t first = coordinatorAmong(everyone());
    const size_t other = first == 0 ? 1 : 0;
    StageFleet fleet;
    fleet.show(first, {first, other});
    fleet.show(other, {other, first});
    const StageJob job {.pool = stagePool,
                        .request = model::CallerRequestId("theirs"),
                        .pieceCount = 2,
                        .key = "k",
                        .due = model::TimePoint(model::seconds(101)),
                        .deadline = model::TimePoint(model::seconds(105)),
                        .isRelayed = true};
    fleet.daemon(other).onPeerJob(1, job, model::TimePoint(model::seconds(100)));
    fleet.advanceTime(milliseconds(50));
    CHECK(fleet.forwards == 0);
    CHECK(fleet.batchesOf[other] == 1);
}

TEST_CASE("A job that was passed on is cancelled when the peer that sent it disconnects")
{
    RelayFixture fixture;
    const PeerDaemon wide {.id = model::DaemonId("d9"), .address = "10.0.0.9:1", .linkMbps = 200};
    fixture.system.setPeers({daemonAt(1), wide}, fixture.now);
    const StageJob job {.pool = stagePool,
                        .request = model::CallerRequestId("theirs"),
                        .pieceCount = 2,
                        .key = "k",
                        .due = fixture.now + model::seconds(1),
                        .deadline = fixture.now + model::seconds(5)};
    fixture.system.onPeerJob(17, job, fixture.now);
    fixture.collect();
    const auto forward = fixture.take<ForwardJob>();
    CHECK(forward.content.isRelayed);
    fixture.system.onPeerDisconnected(17);
    fixture.collect();
    CHECK(fixture.take<CancelForwardedJob>().job == forward.job);
    CHECK(fixture.count<AnswerPeer>() == 0);
}

// Guards against a job that is lost when the daemon to which it was passed on fails.
TEST_CASE("A job that was passed on in vain is run by the daemon that passed it on")
{
    RelayFixture fixture;
    const PeerDaemon wide {.id = model::DaemonId("d9"), .address = "10.0.0.9:1", .linkMbps = 200};
    fixture.system.setPeers({daemonAt(1), wide}, fixture.now);
    const StageJob job {.pool = stagePool,
                        .request = model::CallerRequestId("theirs"),
                        .pieceCount = 2,
                        .key = "k",
                        .due = fixture.now + model::seconds(1),
                        .deadline = fixture.now + model::seconds(5)};
    fixture.system.onPeerJob(17, job, fixture.now);
    fixture.collect();
    fixture.system.onForwardFailed(fixture.take<ForwardJob>().job, fixture.now);
    fixture.collect();
    fixture.answerBatch();
    CHECK(fixture.take<AnswerPeer>().result.handles.size() == 2);
}

// Guards against a queue of which each part waits for the whole timeout of a coordinator that is
// known to be stuck.
TEST_CASE("Load pattern: all jobs of a stuck coordinator are sent elsewhere at once")
{
    RelayFixture fixture;
    const PeerDaemon wide {.id = model::DaemonId("d9"), .address = "10.0.0.9:1", .linkMbps = 200};
    fixture.system.setPeers({daemonAt(1), wide}, fixture.now);
    fixture.arrive("/staged/x");
    fixture.advanceTime(milliseconds(600));
    fixture.arrive("/staged/x");
    CHECK(fixture.count<ForwardJob>() == 2);
    fixture.advanceTime(milliseconds(900));
    CHECK(fixture.count<RunBatch>() == 2);
}
