#include <algorithm>
#include <map>
#include <set>

#include <absl/strings/str_cat.h>

#include "model/hash.h"
#include "model/overloaded.h"
#include "relay/relaysystem.h"

// Chooses the daemon that schedules each pool and exchanges stage jobs with the other daemons.

namespace citronpick::relay
{

using observability::EventCode;

namespace
{

//! A coordinator that has not answered for this long is considered stuck.
constexpr model::Duration peerTimeout = model::milliseconds(1500);
//! A coordinator that has unanswered jobs and has not answered for this long is sent an inquiry,
//! because jobs may stay in its queue for longer than the timeout.
constexpr model::Duration inquiryDelay = model::milliseconds(700);
//! How long a stuck coordinator is not used.
constexpr model::Duration peerAvoidanceTime = model::seconds(3);
//! Distinguishes the ids of forwarded jobs from those of the local scheduler.
constexpr uint64_t forwardedBit = uint64_t {1} << 63U;

} // namespace

// One daemon schedules a pool for all daemons, so that its upstreams get full batches and daemons
// do not compete for them. It is determined by the list of members alone. Daemons whose lists
// differ for a moment may choose different coordinators, which only makes batches less full.
const PeerDaemon *RelaySystem::coordinatorOf(const model::PoolId &pool, model::TimePoint now) const
{
    std::vector<const PeerDaemon *> candidates;
    uint32_t bestLink = 0;
    for (const PeerDaemon &peer : m_peers) {
        const auto avoided = m_peerAvoidedUntil.find(peer.id);
        if (avoided == m_peerAvoidedUntil.end() || now >= avoided->second) {
            candidates.push_back(&peer);
            bestLink = std::max(bestLink, peer.linkMbps);
        }
    }
    const PeerDaemon *best = nullptr;
    uint64_t bestRank = 0;
    const uint64_t seed = model::hash64(pool.text());
    for (const PeerDaemon *peer : candidates) {
        const uint64_t rank = model::hash64(peer->id.text(), seed);
        // The batches of a whole pool would saturate a slow link.
        const bool isStrong = peer->linkMbps >= bestLink / 2;
        if (isStrong && (!best || rank > bestRank)) {
            best = peer;
            bestRank = rank;
        }
    }
    return best && best->id != m_options.daemon ? best : nullptr;
}

void RelaySystem::submit(const JobOwner &owner, StageJob job, model::TimePoint now)
{
    if (const PeerDaemon *coordinator = coordinatorOf(job.pool, now)) {
        forward(owner, *coordinator, std::move(job), now);
        return;
    }
    submitLocally(owner, std::move(job), now);
}

void RelaySystem::forward(const JobOwner &owner, const PeerDaemon &peer, StageJob job,
                          model::TimePoint now)
{
    const JobId id(forwardedBit | ++m_lastForward);
    ++m_counters.forwardedJobs;
    addToOwner(owner, id);
    job.isRelayed = job.isRelayed || std::holds_alternative<PeerExchange>(owner);
    m_commands.emplace_back(ForwardJob {.job = id, .peer = peer, .content = job});
    m_forwardedJobs.emplace(
        id, ForwardedJob {.owner = owner, .peer = peer, .content = std::move(job), .sentAt = now});
}

void RelaySystem::submitLocally(const JobOwner &owner, StageJob job, model::TimePoint now)
{
    const JobId id = m_scheduler.submit(std::move(job), now);
    m_jobOwners.emplace(id, owner);
    addToOwner(owner, id);
    handleSchedulerOutput(now);
}

void RelaySystem::addToOwner(const JobOwner &owner, JobId job)
{
    std::visit(
        model::Overloaded {
            [&](const LocalStage &local) { find(local.request)->jobs.push_back(job); },
            [&](const PeerExchange &peer) { m_peerJobs.insert_or_assign(peer.exchange, job); },
        },
        owner);
}

bool RelaySystem::takeFromOwner(const JobOwner &owner, JobId job)
{
    return std::visit(
        model::Overloaded {
            [&](const LocalStage &local) {
                Exchange *exchange = find(local.request);
                return exchange && std::erase(exchange->jobs, job) > 0;
            },
            [&](const PeerExchange &peer) { return m_peerJobs.erase(peer.exchange) > 0; },
        },
        owner);
}

// The peer may know fewer members than this daemon. Its job is passed on once only, so that daemons
// whose lists differ do not pass it round.
void RelaySystem::onPeerJob(uint64_t exchange, StageJob job, model::TimePoint now)
{
    const PeerExchange owner {.exchange = exchange};
    if (job.isInquiry || job.isRelayed) {
        submitLocally(owner, std::move(job), now);
        return;
    }
    submit(owner, std::move(job), now);
}

void RelaySystem::onPeerDisconnected(uint64_t exchange)
{
    const auto it = m_peerJobs.find(exchange);
    if (it == m_peerJobs.end()) {
        return;
    }
    const JobId job = it->second;
    m_peerJobs.erase(it);
    cancelJob(job);
}

// A daemon that has just started knows no others and schedules for itself. Its queue would go on
// competing with the coordinator for the upstreams long after it has learnt of it.
void RelaySystem::moveQueuedJobs(model::TimePoint now)
{
    std::map<model::PoolId, const PeerDaemon *> coordinators;
    for (const JobId job : m_scheduler.jobsNotBegun()) {
        const StageJob *content = m_scheduler.find(job);
        const auto owner = m_jobOwners.find(job);
        const auto [known, isNew] = coordinators.emplace(content->pool, nullptr);
        if (isNew) {
            known->second = coordinatorOf(content->pool, now);
        }
        const PeerDaemon *coordinator = known->second;
        if (!coordinator || content->isRelayed || owner == m_jobOwners.end()) {
            continue;
        }
        const JobOwner movedOwner = owner->second;
        StageJob moved = *content;
        cancelJob(job);
        takeFromOwner(movedOwner, job);
        ++m_counters.movedJobs;
        m_commands.emplace_back(observability::Event {
            .code = EventCode::StageMoved,
            .request = moved.request,
            .subject = coordinator->id.text(),
            .detail = absl::StrCat("pool=", moved.pool.text(), " stage=", moved.stage,
                                   " members=", m_peers.size())});
        forward(movedOwner, *coordinator, std::move(moved), now);
    }
}

void RelaySystem::onForwardAnswered(JobId job, JobResult result, model::TimePoint now)
{
    const auto it = m_forwardedJobs.find(job);
    if (it == m_forwardedJobs.end()) {
        // The job was cancelled while its answer was on its way.
        releaseResults(std::move(result.handles));
        return;
    }
    const ForwardedJob forward = it->second;
    m_forwardedJobs.erase(it);
    m_peerAnsweredAt[forward.peer.id] = now;
    noteForecast(forward.content.pool, result.forecast, now);
    if (forward.content.isInquiry) {
        return;
    }
    // A coordinator that has just started may not have received the list of upstreams.
    if (result.failure == JobFailure::NoUpstream && takeFromOwner(forward.owner, job)) {
        submitLocally(forward.owner, forward.content, now);
        return;
    }
    finishJob(forward.owner, job, std::move(result), now);
}

void RelaySystem::onForwardFailed(JobId job, model::TimePoint now)
{
    const auto it = m_forwardedJobs.find(job);
    if (it == m_forwardedJobs.end()) {
        return;
    }
    const ForwardedJob forward = it->second;
    m_forwardedJobs.erase(it);
    if (forward.content.isInquiry) {
        // The coordinator is avoided only when one of its unanswered jobs fails or times out.
        return;
    }
    m_peerAvoidedUntil[forward.peer.id] = now + peerAvoidanceTime;
    if (!takeFromOwner(forward.owner, job)) {
        return;
    }
    m_commands.emplace_back(observability::Event {
        .code = EventCode::CoordinatorAvoided,
        .request = forward.content.request,
        .subject = forward.peer.id.text(),
        .detail = absl::StrCat("pool=", forward.content.pool.text(),
                               " afterMs=", model::toMilliseconds(now - forward.sentAt))});
    // The next coordinator may not have noticed yet that this one fails, and would pass the job
    // back.
    StageJob again = forward.content;
    again.isRelayed = true;
    submit(forward.owner, std::move(again), now);
}

void RelaySystem::checkPeers(model::TimePoint now)
{
    std::vector<JobId> stuck;
    std::set<model::DaemonId> stuckPeers;
    // Inquiries are added to m_forwardedJobs, so that its rows may move.
    std::map<model::DaemonId, std::pair<PeerDaemon, model::PoolId>> unresponsive;
    for (const auto &[id, forward] : m_forwardedJobs) {
        const auto answered = m_peerAnsweredAt.find(forward.peer.id);
        const model::TimePoint last = answered == m_peerAnsweredAt.end()
                                          ? forward.sentAt
                                          : std::max(forward.sentAt, answered->second);
        if (now - last >= peerTimeout) {
            stuck.push_back(id);
            stuckPeers.insert(forward.peer.id);
        } else if (now - last >= inquiryDelay) {
            unresponsive.try_emplace(forward.peer.id, forward.peer, forward.content.pool);
        }
    }
    for (const auto &[id, inquired] : unresponsive) {
        if (!stuckPeers.contains(id)) {
            sendInquiry(inquired.first, inquired.second, now);
        }
    }
    // The younger jobs of a stuck peer would only wait as long in vain.
    for (const auto &[id, forward] : m_forwardedJobs) {
        if (stuckPeers.contains(forward.peer.id)) {
            stuck.push_back(id);
        }
    }
    std::sort(stuck.begin(), stuck.end());
    stuck.erase(std::unique(stuck.begin(), stuck.end()), stuck.end());
    for (const JobId job : stuck) {
        m_commands.emplace_back(CancelForwardedJob {.job = job});
        onForwardFailed(job, now);
    }
}

void RelaySystem::sendInquiry(const PeerDaemon &peer, const model::PoolId &pool,
                              model::TimePoint now)
{
    const auto inquired = m_peerInquiredAt.find(peer.id);
    if (inquired != m_peerInquiredAt.end() && now - inquired->second < inquiryDelay) {
        return;
    }
    m_peerInquiredAt[peer.id] = now;
    const JobId id(forwardedBit | ++m_lastForward);
    StageJob inquiry {
        .pool = pool, .pieceCount = 0, .due = now, .deadline = now, .isInquiry = true};
    m_commands.emplace_back(ForwardJob {.job = id, .peer = peer, .content = inquiry});
    m_forwardedJobs.emplace(id, ForwardedJob {.owner = LocalStage {},
                                              .peer = peer,
                                              .content = std::move(inquiry),
                                              .sentAt = now});
}

} // namespace citronpick::relay
