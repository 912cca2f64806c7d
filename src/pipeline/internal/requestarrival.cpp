#include "pipeline/requestsystem.h"

#include <algorithm>

#include "model/hash.h"
#include "model/invariant.h"

namespace citronpick::pipeline
{

namespace
{

//! Length of the prompt prefix used for routing. Shorter prompts have no prefix.
constexpr size_t prefixBytes = 256;
//! Measured answer times of a pool are used for estimates until its last answer is this old.
constexpr model::Duration estimateLifetime = model::seconds(1);
//! Admission uses a high quantile of answer times and a margin on the wait, because requests that
//! would barely meet their deadline should not take a place in a full queue.
constexpr double admissionQuantile = 0.9;
constexpr double waitSafetyFactor = 1.1;

model::Fingerprint fingerprintOf(const RequestArrived &event)
{
    uint64_t digest = model::hash64(event.account.text());
    digest = model::hash64(event.route.text(), digest);
    digest = model::hash64(event.body ? *event.body : std::string(), digest);
    return model::Fingerprint(digest);
}

uint64_t prefixOf(const RequestArrived &event)
{
    if (!event.body || event.body->size() < prefixBytes) {
        return 0;
    }
    return model::hash64(std::string_view(*event.body).substr(0, prefixBytes));
}

} // namespace

RequestSystem::RequestSystem(PipelineOptions options, RequestSystemDependencies dependencies,
                             uint64_t seed)
    : m_options(options)
    , m_dependencies(dependencies)
    , m_random(seed)
    , m_quarantine(options.crashesToQuarantine, options.crashReportLifetime,
                   options.quarantineLifetime)
    , m_limits(dependencies.accountShare)
{
}

void RequestSystem::setConfiguration(config::ConfigurationPtr configuration)
{
    m_configuration = std::move(configuration);
    while (m_pools.size() < m_dependencies.upstreams.pools().size()) {
        m_pools.push_back(std::make_unique<PoolState>(
            PoolState {.queue = admission::StageQueue(m_options.queue),
                       .budget = admission::AttemptBudget(m_options.extraAttemptRatio),
                       .costs = {},
                       .smoothedRatios = {}}));
    }
    for (const auto &state : m_pools) {
        state->smoothedRatios.resize(m_dependencies.upstreams.upstreams().size(), 1.0);
    }
}

void RequestSystem::onArrival(const RequestArrived &event, model::TimePoint now)
{
    m_lastTime = now;
    model::checkInvariant("a request identifier is used once",
                          m_table.find(event.request) == nullptr);
    const model::Fingerprint fingerprint = fingerprintOf(event);
    if (const auto refusal = checkArrival(event, fingerprint, now)) {
        refuse(event, *refusal);
        return;
    }
    Request request = makeRequest(event, fingerprint, now);
    if (!beginOperation(request, now)) {
        return;
    }
    std::optional<Refusal> refusal = checkFeasibility(request, now);
    const config::AccountConfig *known = m_configuration->account(event.account);
    const config::AccountConfig account
        = known ? *known : config::AccountConfig {.id = event.account};
    if (!refusal) {
        if (const auto wait = m_limits.admit(account, now)) {
            refusal = Refusal {.reason = model::Reason::AccountLimit, .retryAfter = *wait};
        }
    }
    if (refusal) {
        // The operation was not started, so its key stays usable.
        m_dependencies.operations.finish(request.operationKey, {.outcome = model::Outcome::NotRun});
        refuse(event, *refusal);
        return;
    }
    ++m_costs.routes[request.route->id].arrived;
    ++m_costs.account(request.account).requests;
    Request &row = m_table.add(std::move(request));
    m_timers.add(row.deadline, {.kind = TimerKind::Deadline, .request = row.id, .attempt = {}});
    startStage(row, now);
}

std::optional<RequestSystem::Refusal> RequestSystem::checkArrival(const RequestArrived &event,
                                                                  model::Fingerprint fingerprint,
                                                                  model::TimePoint now) const
{
    constexpr model::Duration noRetryTime {};
    if (m_refusesNewWork) {
        return Refusal {.reason = model::Reason::Draining, .retryAfter = noRetryTime};
    }
    if (!m_configuration) {
        return Refusal {.reason = model::Reason::NoConfiguration, .retryAfter = model::seconds(1)};
    }
    if (!m_configuration->route(event.route)) {
        return Refusal {.reason = model::Reason::UnknownRoute, .retryAfter = noRetryTime};
    }
    const bool isKnown = m_configuration->account(event.account) != nullptr;
    if (!isKnown && !m_configuration->acceptsUnknownAccounts()) {
        return Refusal {.reason = model::Reason::UnknownAccount, .retryAfter = noRetryTime};
    }
    if (event.budget && *event.budget < m_options.minBudget) {
        return Refusal {.reason = model::Reason::DeadlinePassed, .retryAfter = noRetryTime};
    }
    if (const auto remaining = m_quarantine.remaining(fingerprint, now)) {
        return Refusal {.reason = model::Reason::Quarantined, .retryAfter = *remaining};
    }
    if (m_table.requestCount() >= m_options.maxRequests) {
        return Refusal {.reason = model::Reason::Overloaded, .retryAfter = model::seconds(1)};
    }
    return std::nullopt;
}

Request RequestSystem::makeRequest(const RequestArrived &event, model::Fingerprint fingerprint,
                                   model::TimePoint now) const
{
    const config::RouteConfig *route = m_configuration->route(event.route);
    const config::AccountConfig *account = m_configuration->account(event.account);
    Request request;
    request.id = event.request;
    request.callerId = event.callerId;
    request.account = event.account;
    request.configuration = m_configuration;
    request.route = route;
    request.weight = account ? account->weight : 1.0;
    request.priorityRank = m_configuration->priorityRank(event.priority);
    request.arrivedAt = now;
    request.deadline = now + event.budget.value_or(route->defaultDeadline);
    request.expectedTokens = event.expectedTokens;
    request.wantsStream = event.wantsStream;
    request.operationKey = event.operationKey;
    request.fingerprint = fingerprint;
    request.prefix = prefixOf(event);
    request.input = event.body ? event.body : model::makeBody({});
    return request;
}

bool RequestSystem::beginOperation(const Request &request, model::TimePoint now)
{
    if (request.operationKey.empty()) {
        return true;
    }
    const auto decision
        = m_dependencies.operations.begin(request.operationKey, request.fingerprint, now);
    if (decision.kind == operations::OperationDecision::Kind::Run) {
        return true;
    }
    Respond answer {.request = request.id,
                    .outcome = decision.result.outcome,
                    .reason = decision.result.reason,
                    .upstreamStatus = decision.result.upstreamStatus,
                    .body = decision.result.body};
    if (answer.reason == model::Reason::KeyInProgress) {
        answer.retryAfter = model::milliseconds(200);
    }
    record(observability::EventCode::OperationRepeated, request, request.account.text(),
           "outcome=" + std::string(model::toString(answer.outcome)));
    m_commands.emplace_back(std::move(answer));
    return false;
}

std::optional<RequestSystem::Refusal> RequestSystem::checkFeasibility(Request &request,
                                                                      model::TimePoint now)
{
    if (!prepareStage(request)) {
        return Refusal {.reason = model::Reason::NoUpstream, .retryAfter = model::seconds(1)};
    }
    PoolState &state = stateOf(request.pool);
    if (!state.queue.hasRoomFor(request.input->size())) {
        return Refusal {.reason = model::Reason::Overloaded, .retryAfter = model::seconds(1)};
    }
    if (!m_options.rejectsUnreachableDeadlines) {
        return std::nullopt;
    }
    model::Duration need {};
    for (const config::StageConfig &stage : request.route->stages) {
        need += estimate(stage, request.expectedTokens, admissionQuantile);
    }
    const double ratio = std::max(1.0, m_dependencies.health.poolRatio(request.pool));
    const model::Duration wait = model::scaled(
        state.queue.expectedWait(queueItem(request), totalSlots(request.pool), now), ratio);
    if (now + need + model::scaled(wait, waitSafetyFactor) > request.deadline) {
        return Refusal {.reason = wait > model::Duration::zero()
                                      ? model::Reason::Overloaded
                                      : model::Reason::DeadlineUnreachable,
                        .retryAfter = wait};
    }
    return std::nullopt;
}

void RequestSystem::refuse(const RequestArrived &event, const Refusal &refusal)
{
    m_commands.emplace_back(
        observability::Event {.code = observability::EventCode::RequestRefused,
                              .request = event.callerId,
                              .subject = event.route.text(),
                              .detail = "reason=" + std::string(model::toString(refusal.reason))});
    if (m_configuration && m_configuration->route(event.route)) {
        RouteCount &routeCount = m_costs.routes[event.route];
        ++routeCount.arrived;
        ++routeCount.notRun;
    }
    m_commands.emplace_back(Respond {.request = event.request,
                                     .outcome = model::Outcome::NotRun,
                                     .reason = refusal.reason,
                                     .retryAfter = refusal.retryAfter});
}

model::Duration RequestSystem::costOf(const config::PoolConfig &pool, uint32_t tokens)
{
    return pool.expectedDuration + pool.expectedPerToken * tokens;
}

model::Duration RequestSystem::estimate(const config::StageConfig &stage, uint32_t tokens,
                                        double quantile) const
{
    const auto pool = m_dependencies.upstreams.find(stage.pool);
    if (!pool) {
        return model::Duration::zero();
    }
    const upstreams::Pool &row = m_dependencies.upstreams.at(*pool);
    // Outdated answer times must not be used: they could keep refusing all requests, and then no
    // new answer would show that the pool has become faster.
    const bool isKnown = m_lastTime - m_pools[pool->value]->lastAnswerAt < estimateLifetime;
    if (!isKnown) {
        return costOf(row.config, tokens);
    }
    return model::scaled(costOf(row.config, tokens), row.ratios.quantile(quantile, 1.0));
}

model::Duration RequestSystem::laterStagesTime(const Request &request) const
{
    model::Duration need {};
    for (size_t stage = request.stage + 1; stage < request.route->stages.size(); ++stage) {
        need += estimate(request.route->stages[stage], request.expectedTokens, medianQuantile);
    }
    return need;
}

} // namespace citronpick::pipeline
