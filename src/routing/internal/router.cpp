#include "routing/router.h"

#include <algorithm>
#include <cmath>

#include "model/overloaded.h"

namespace citronpick::routing
{

namespace
{

//! Time constant of the exponential decay by which a load report loses weight as it ages.
constexpr model::Duration loadReportDecayTime = model::seconds(2);

} // namespace

Router::Router(RouterOptions options, const upstreams::UpstreamTable &upstreams,
               const health::HealthSystem &health, const PrefixTable &prefixes)
    : m_options(std::move(options))
    , m_upstreams(upstreams)
    , m_health(health)
    , m_prefixes(prefixes)
    , m_random(m_options.seed)
{
}

std::optional<Choice> Router::choose(const StageDemand &demand, model::TimePoint now)
{
    collectCandidates(demand);
    return std::visit(
        model::Overloaded {
            [&](const PowerOfTwo &policy) { return choosePowerOfTwo(policy, demand, now); },
            [&](const RoundRobin &) { return chooseRoundRobin(demand); },
        },
        m_options.policy);
}

double Router::load(model::UpstreamRow upstream, model::TimePoint now) const
{
    const upstreams::Upstream &row = m_upstreams.at(upstream);
    double requests = row.inFlight;
    if (row.report.at != model::TimePoint::min()) {
        const uint32_t otherRequests = row.report.inFlight > row.report.ownInFlight
                                           ? row.report.inFlight - row.report.ownInFlight
                                           : 0;
        const double age = model::toSeconds(now - row.report.at);
        requests += otherRequests * std::exp(-age / model::toSeconds(loadReportDecayTime));
    }
    return (requests + 1.0) * row.slowness / row.limit.value();
}

bool Router::isEligible(model::UpstreamRow upstream, const StageDemand &demand) const
{
    const upstreams::Upstream &row = m_upstreams.at(upstream);
    // Upstreams of a removed pool still serve requests that started under an older configuration.
    const bool isServing = !row.isRetired || m_upstreams.at(row.pool).isRetired;
    if (!isServing || row.leavingSince) {
        return false;
    }
    // If two requests suspected of causing crashes ran on one upstream, its crash would not show
    // which of them caused it.
    if (demand.isCrashSuspect && row.crashSuspectsInFlight > 0) {
        return false;
    }
    return std::find(demand.excluded.begin(), demand.excluded.end(), upstream)
           == demand.excluded.end();
}

void Router::collectCandidates(const StageDemand &demand)
{
    m_ownZoneCandidates.clear();
    m_otherZoneCandidates.clear();
    m_suspects.clear();
    m_returning.clear();
    for (const model::UpstreamRow upstream : m_upstreams.at(demand.pool).upstreams) {
        if (!isEligible(upstream, demand)) {
            continue;
        }
        const upstreams::Upstream &row = m_upstreams.at(upstream);
        const health::HealthState state = m_health.row(upstream).state;
        if (health::isOutOfService(state)) {
            if (row.inFlight < m_health.returningSlots(upstream)) {
                m_returning.push_back(upstream);
            }
            continue;
        }
        if (row.inFlight >= row.limit.value()) {
            continue;
        }
        if (state == health::HealthState::Suspect) {
            m_suspects.push_back(upstream);
        } else if (row.config.zone == m_options.zone) {
            m_ownZoneCandidates.push_back(upstream);
        } else {
            m_otherZoneCandidates.push_back(upstream);
        }
    }
}

std::optional<Choice> Router::chooseReturning(const StageDemand &demand)
{
    const bool isTrialCandidate = demand.isIdempotent && demand.isShort && demand.hasTimeToRetry
                                  && !demand.isCrashSuspect && demand.excluded.empty();
    if (!isTrialCandidate || m_returning.empty()) {
        return std::nullopt;
    }
    const uint32_t pick = m_random.below(static_cast<uint32_t>(m_returning.size()));
    return Choice {.upstream = m_returning[pick], .kind = ChoiceKind::Test};
}

std::optional<Choice> Router::chooseByPrefix(const PowerOfTwo &policy, const StageDemand &demand,
                                             model::TimePoint now) const
{
    const auto location = demand.prefix == 0 ? std::nullopt : m_prefixes.find(demand.prefix);
    if (!location) {
        return std::nullopt;
    }
    const auto isFree = [&](const std::vector<model::UpstreamRow> &rows) {
        return std::find(rows.begin(), rows.end(), *location) != rows.end();
    };
    if (!isFree(m_ownZoneCandidates) && !isFree(m_otherZoneCandidates)) {
        return std::nullopt;
    }
    double sum = 0.0;
    for (const auto *rows : {&m_ownZoneCandidates, &m_otherZoneCandidates}) {
        for (const model::UpstreamRow upstream : *rows) {
            sum += load(upstream, now);
        }
    }
    const double mean
        = sum / static_cast<double>(m_ownZoneCandidates.size() + m_otherZoneCandidates.size());
    if (load(*location, now) > policy.prefixLoadFactor * mean) {
        return std::nullopt;
    }
    return Choice {.upstream = *location, .kind = ChoiceKind::Prefix};
}

model::UpstreamRow Router::betterOfTwo(const std::vector<model::UpstreamRow> &rows,
                                       model::TimePoint now)
{
    const auto size = static_cast<uint32_t>(rows.size());
    const uint32_t first = m_random.below(size);
    if (size == 1) {
        return rows[first];
    }
    const uint32_t second = (first + 1 + m_random.below(size - 1)) % size;
    return load(rows[first], now) <= load(rows[second], now) ? rows[first] : rows[second];
}

std::optional<Choice> Router::choosePowerOfTwo(const PowerOfTwo &policy, const StageDemand &demand,
                                               model::TimePoint now)
{
    if (const auto returning = chooseReturning(demand)) {
        return returning;
    }
    if (const auto cached = chooseByPrefix(policy, demand, now)) {
        return cached;
    }
    const bool mayTestSuspect = demand.isIdempotent && demand.hasTimeToRetry
                                && !demand.isCrashSuspect && !m_suspects.empty()
                                && m_random.below(policy.requestsPerSuspectTest) == 0;
    if (mayTestSuspect) {
        const uint32_t pick = m_random.below(static_cast<uint32_t>(m_suspects.size()));
        if (m_upstreams.at(m_suspects[pick]).inFlight == 0) {
            return Choice {.upstream = m_suspects[pick], .kind = ChoiceKind::Test};
        }
    }
    if (m_ownZoneCandidates.empty() && m_otherZoneCandidates.empty()) {
        if (m_suspects.empty()) {
            return std::nullopt;
        }
        return Choice {.upstream = betterOfTwo(m_suspects, now), .kind = ChoiceKind::LastResort};
    }
    if (m_ownZoneCandidates.empty()) {
        return Choice {.upstream = betterOfTwo(m_otherZoneCandidates, now)};
    }
    const model::UpstreamRow inOwnZone = betterOfTwo(m_ownZoneCandidates, now);
    if (m_otherZoneCandidates.empty()) {
        return Choice {.upstream = inOwnZone};
    }
    const model::UpstreamRow inOtherZone = betterOfTwo(m_otherZoneCandidates, now);
    const bool leavesZone = load(inOwnZone, now) > policy.spillFactor * load(inOtherZone, now);
    return Choice {.upstream = leavesZone ? inOtherZone : inOwnZone};
}

std::optional<Choice> Router::chooseRoundRobin(const StageDemand &demand)
{
    const bool mayUseReturning = demand.isIdempotent;
    if (mayUseReturning && !m_returning.empty()) {
        return Choice {.upstream = m_returning.front(), .kind = ChoiceKind::Test};
    }
    std::vector<model::UpstreamRow> &rows = m_ownZoneCandidates;
    rows.insert(rows.end(), m_otherZoneCandidates.begin(), m_otherZoneCandidates.end());
    rows.insert(rows.end(), m_suspects.begin(), m_suspects.end());
    if (rows.empty()) {
        return std::nullopt;
    }
    std::sort(rows.begin(), rows.end());
    return Choice {.upstream = rows[m_nextRoundRobin++ % rows.size()]};
}

} // namespace citronpick::routing
