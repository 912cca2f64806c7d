#include <algorithm>
#include <map>

#include <absl/strings/str_cat.h>

#include "model/hash.h"
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

void RelaySystem::submit(const LocalStage &owner, StageJob job, model::TimePoint now)
{
    const PeerDaemon *coordinator = coordinatorOf(job.pool, now);
    if (!coordinator) {
        submitLocally(owner, std::move(job), now);
        return;
    }
    const JobId id(forwardedBit | ++m_lastForward);
    ++m_counters.forwardedJobs;
    find(owner.request)->jobs.push_back(id);
    m_commands.emplace_back(ForwardJob {.job = id, .peer = *coordinator, .content = job});
    m_forwardedJobs.emplace(
        id, ForwardedJob {
                .owner = owner, .peer = *coordinator, .content = std::move(job), .sentAt = now});
}

void RelaySystem::submitLocally(const LocalStage &owner, StageJob job, model::TimePoint now)
{
    const JobId id = m_scheduler.submit(std::move(job), now);
    m_jobOwners.emplace(id, owner);
    find(owner.request)->jobs.push_back(id);
    handleSchedulerOutput(now);
}

void RelaySystem::onPeerJob(uint64_t exchange, StageJob job, model::TimePoint now)
{
    const JobId id = m_scheduler.submit(std::move(job), now);
    m_jobOwners.emplace(id, PeerExchange {.exchange = exchange});
    m_peerJobs.emplace(exchange, id);
    handleSchedulerOutput(now);
}

void RelaySystem::onPeerDisconnected(uint64_t exchange)
{
    const auto it = m_peerJobs.find(exchange);
    if (it == m_peerJobs.end()) {
        return;
    }
    m_scheduler.cancel(it->second);
    m_jobOwners.erase(it->second);
    m_peerJobs.erase(it);
}

void RelaySystem::onForwardAnswered(JobId job, JobResult result, model::TimePoint now)
{
    const auto it = m_forwardedJobs.find(job);
    if (it == m_forwardedJobs.end()) {
        return;
    }
    const ForwardedJob forward = it->second;
    m_forwardedJobs.erase(it);
    m_peerAnsweredAt[forward.peer.id] = now;
    noteForecast(forward.content.pool, result.forecast, now);
    if (forward.content.isInquiry) {
        return;
    }
    const bool isRetriedHere = result.failure == JobFailure::NoUpstream;
    if (isRetriedHere && find(forward.owner.request)) {
        // A coordinator that has just started may not have received the list of upstreams.
        std::erase(find(forward.owner.request)->jobs, job);
        submitLocally(forward.owner, forward.content, now);
        return;
    }
    onStageFinished(forward.owner, job, std::move(result), now);
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
    Exchange *exchange = find(forward.owner.request);
    if (!exchange) {
        return;
    }
    std::erase(exchange->jobs, job);
    record(EventCode::CoordinatorAvoided, *exchange, forward.peer.id.text(),
           absl::StrCat("pool=", forward.content.pool.text(),
                        " afterMs=", model::toMilliseconds(now - forward.sentAt)));
    submit(forward.owner, forward.content, now);
}

void RelaySystem::checkPeers(model::TimePoint now)
{
    std::vector<JobId> stuck;
    // Copies, as an inquiry adds a row to m_forwardedJobs.
    std::map<model::DaemonId, std::pair<PeerDaemon, model::PoolId>> unresponsive;
    for (const auto &[id, forward] : m_forwardedJobs) {
        const auto answered = m_peerAnsweredAt.find(forward.peer.id);
        const model::TimePoint last = answered == m_peerAnsweredAt.end()
                                          ? forward.sentAt
                                          : std::max(forward.sentAt, answered->second);
        if (now - last >= peerTimeout) {
            stuck.push_back(id);
        } else if (now - last >= inquiryDelay) {
            unresponsive.try_emplace(forward.peer.id, forward.peer, forward.content.pool);
        }
    }
    for (const auto &[id, inquiry] : unresponsive) {
        sendInquiry(inquiry.first, inquiry.second, now);
    }
    std::sort(stuck.begin(), stuck.end());
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
    m_forwardedJobs.emplace(
        id, ForwardedJob {.owner = {}, .peer = peer, .content = std::move(inquiry), .sentAt = now});
}

} // namespace citronpick::relay
