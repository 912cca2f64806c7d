#include "support/fleetsimulation.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "model/overloaded.h"

namespace citronpick::testing
{

namespace
{

constexpr model::Duration tickInterval = model::milliseconds(5);
constexpr uint16_t firstPort = 1000;
constexpr model::Duration platformDelay = model::milliseconds(3);
constexpr model::Duration connectTimeout = model::seconds(1);

} // namespace

FleetSimulation::FleetSimulation(SimulationOptions options)
    : m_options(std::move(options))
    , m_now(model::seconds(1000))
    , m_random(m_options.seed)
    , m_daemons(m_options.daemons)
{
    const auto configuration = config::parseConfiguration(m_options.pipelines);
    if (!configuration.ok()) {
        throw std::runtime_error(std::string(configuration.status().message()));
    }
    m_configuration = *configuration;
    for (const config::PoolConfig &pool : m_configuration->pools()) {
        for (const config::UpstreamConfig &upstream : pool.upstreams) {
            m_upstreams[upstream.id.text()] = std::make_unique<FakeUpstream>(
                upstream.id.text(), pool.concurrency, pool.expectedDuration, pool.expectedPerToken,
                m_random.next64());
        }
    }
    m_platformRevision = 1;
    m_platformText = m_options.pipelines;
    for (size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
        start(daemon);
    }
    // Enough time for every daemon to read the configuration and to discover the other daemons.
    runFor(model::seconds(3));
}

FleetSimulation::~FleetSimulation() = default;

void FleetSimulation::start(size_t daemon)
{
    Daemon &row = m_daemons[daemon];
    core::CoreOptions options = m_options.core;
    const auto port = static_cast<uint16_t>(firstPort + daemon);
    options.daemon = model::DaemonId("d" + std::to_string(daemon));
    options.incarnation = model::Incarnation(++m_lastIncarnation);
    options.zone = model::ZoneId(m_options.zones[daemon % m_options.zones.size()]);
    options.callerEndpoint = {.host = "10.0.0.1", .port = port};
    options.fleetEndpoint = {.host = "10.0.0.2", .port = port};
    options.secret = "secret";
    options.seed = m_options.seed;
    options.fleet.seeds
        = {{.host = "10.0.0.2", .port = firstPort}, {.host = "10.0.0.2", .port = firstPort + 1}};
    row = Daemon {.core = std::make_unique<core::Core>(options, m_now),
                  .options = options,
                  .generation = row.generation + 1};
    const uint64_t generation = row.generation;
    const auto phase = model::Duration(m_random.below(static_cast<uint32_t>(tickInterval.count())));
    schedule(phase, [this, daemon, generation] { tick(daemon, generation); });
    readInstanceList(daemon);
}

void FleetSimulation::schedule(model::Duration delay, std::function<void()> action)
{
    m_queue.push({.at = m_now + delay, .sequence = ++m_lastSequence, .action = std::move(action)});
}

void FleetSimulation::runFor(model::Duration duration)
{
    const model::TimePoint end = m_now + duration;
    while (!m_queue.empty() && m_queue.top().at <= end) {
        const ScheduledAction next = m_queue.top();
        m_queue.pop();
        m_now = next.at;
        next.action();
    }
    m_now = end;
}

void FleetSimulation::tick(size_t daemon, uint64_t generation)
{
    Daemon &row = m_daemons[daemon];
    if (row.generation != generation || !row.core) {
        return;
    }
    if (m_now >= row.pausedUntil) {
        for (const core::Event &event : std::exchange(row.heldEvents, {})) {
            handle(daemon, event);
        }
        readPlatform(daemon);
        handle(daemon, core::Tick {});
    }
    schedule(tickInterval, [this, daemon, generation] { tick(daemon, generation); });
}

void FleetSimulation::deliver(size_t daemon, uint64_t generation, core::Event event)
{
    Daemon &row = m_daemons[daemon];
    if (row.generation != generation || !row.core) {
        return;
    }
    if (m_now < row.pausedUntil) {
        row.heldEvents.push_back(std::move(event));
        return;
    }
    handle(daemon, event);
}

void FleetSimulation::handle(size_t daemon, const core::Event &event)
{
    Daemon &row = m_daemons[daemon];
    core::CommandList commands;
    row.core->handle(event, m_now, commands);
    const model::Revision revision = row.core->revisions().revision();
    if (revision < row.highestRevision) {
        m_violations.emplace_back("a daemon replaced its configuration by an older revision");
    }
    row.highestRevision = revision;
    for (const core::Command &command : commands) {
        execute(daemon, command);
    }
}

void FleetSimulation::execute(size_t daemon, const core::Command &command)
{
    std::visit(model::Overloaded {
                   [&](const pipeline::StartAttempt &start) { onStartAttempt(daemon, start); },
                   [&](const pipeline::CancelAttempt &cancel) { onCancel(daemon, cancel); },
                   [&](const pipeline::StreamToCaller &stream) {
                       m_results.at(stream.request.value()).streamed += stream.text;
                   },
                   [&](const pipeline::Respond &respond) { onRespond(daemon, respond); },
                   [&](const observability::Event &event) {
                       m_events.push_back({.at = m_now, .daemon = daemon, .event = event});
                   },
                   [&](const core::SendProbe &probe) { onProbe(daemon, probe); },
                   [&](const fleet::SendExchange &exchange) { onExchange(daemon, exchange); },
                   [&](const fleet::SendReply &reply) { onReply(daemon, reply); },
                   [&](const core::FetchConfiguration &fetch) { onFetch(daemon, fetch); },
                   [&](const core::OperationOpened &opened) {
                       m_operationKeys[opened.request.value()] = opened.key.value_or("");
                   },
                   [&](const core::DrainFinished &) { m_daemons[daemon].isDrained = true; },
               },
               command);
}

void FleetSimulation::onStartAttempt(size_t daemon, const pipeline::StartAttempt &command)
{
    const uint64_t generation = m_daemons[daemon].generation;
    const model::AttemptId attempt = command.attempt;
    const std::string name = command.upstream.text();
    const auto leaving = m_leavingSince.find(name);
    const bool isViolation
        = leaving != m_leavingSince.end() && m_now - leaving->second > model::seconds(3);
    if (isViolation) {
        m_violations.push_back("new work was sent to " + name
                               + " more than 3 s after it began to leave");
    }
    if (m_cutPaths.contains({daemon, name})) {
        schedule(connectTimeout, [this, daemon, generation, attempt] {
            deliver(daemon, generation,
                    pipeline::AttemptFailed {.attempt = attempt,
                                             .error = pipeline::AttemptError::ConnectFailed});
        });
        return;
    }
    m_attemptUpstreams[attemptName(daemon, generation, attempt)] = name;
    schedule(m_options.upstreamDelay, [this, daemon, generation, command] {
        // A request already sent reaches the upstream even if its daemon has been killed since.
        FakeUpstream &upstream = *m_upstreams.at(command.upstream.text());
        const Schedule later = [this](model::Duration delay, std::function<void()> action) {
            schedule(delay, std::move(action));
        };
        upstream.receive(
            attemptName(daemon, generation, command.attempt), command, later,
            [this, daemon, generation, command](const std::vector<pipeline::StreamToken> &tokens) {
                schedule(m_options.upstreamDelay, [this, daemon, generation, command, tokens] {
                    deliver(
                        daemon, generation,
                        pipeline::AttemptStreamed {.attempt = command.attempt, .tokens = tokens});
                });
            },
            [this, daemon, generation, command](const FakeUpstream::Completion &completion) {
                onAttemptEnd(daemon, generation, command.attempt, completion);
            });
    });
}

std::string FleetSimulation::attemptName(size_t daemon, uint64_t generation,
                                         model::AttemptId attempt)
{
    return std::to_string(daemon) + "/" + std::to_string(generation) + "/"
           + std::to_string(attempt.value());
}

void FleetSimulation::onCancel(size_t daemon, const pipeline::CancelAttempt &command)
{
    const std::string name = attemptName(daemon, m_daemons[daemon].generation, command.attempt);
    const auto entry = m_attemptUpstreams.find(name);
    if (entry == m_attemptUpstreams.end()) {
        return;
    }
    FakeUpstream *upstream = m_upstreams.at(entry->second).get();
    m_attemptUpstreams.erase(entry);
    schedule(m_options.upstreamDelay, [this, upstream, name] {
        upstream->cancel(name, [this](model::Duration delay, std::function<void()> action) {
            schedule(delay, std::move(action));
        });
    });
}

void FleetSimulation::onAttemptEnd(size_t daemon, uint64_t generation, model::AttemptId attempt,
                                   const FakeUpstream::Completion &completion)
{
    m_attemptUpstreams.erase(attemptName(daemon, generation, attempt));
    schedule(m_options.upstreamDelay, [this, daemon, generation, attempt, completion] {
        if (completion.error) {
            deliver(daemon, generation,
                    pipeline::AttemptFailed {.attempt = attempt, .error = *completion.error});
            return;
        }
        deliver(daemon, generation,
                pipeline::AttemptAnswered {.attempt = attempt,
                                           .status = completion.status,
                                           .body = model::makeBody(completion.body),
                                           .load = completion.load});
    });
}

void FleetSimulation::onRespond(size_t, const pipeline::Respond &command)
{
    const auto it = m_results.find(command.request.value());
    if (it == m_results.end()) {
        return;
    }
    if (it->second.answer) {
        m_violations.push_back("more than one answer to " + it->second.callerId);
        return;
    }
    it->second.answer = command;
    it->second.answeredAt = m_now;
}

void FleetSimulation::onProbe(size_t daemon, const core::SendProbe &command)
{
    const uint64_t generation = m_daemons[daemon].generation;
    schedule(m_options.upstreamDelay * 2, [this, daemon, generation, command] {
        const FakeUpstream &upstream = *m_upstreams.at(command.upstream.text());
        const bool isGood
            = upstream.probe() && !m_cutPaths.contains({daemon, command.upstream.text()});
        deliver(daemon, generation,
                core::ProbeEnded {
                    .upstream = command.upstream, .number = command.number, .isGood = isGood});
    });
}

bool FleetSimulation::areConnected(size_t left, size_t right) const
{
    if (m_partition.empty()) {
        return true;
    }
    return std::any_of(m_partition.begin(), m_partition.end(), [&](const std::set<size_t> &group) {
        return group.contains(left) && group.contains(right);
    });
}

std::optional<size_t> FleetSimulation::daemonAt(const config::Endpoint &fleetEndpoint) const
{
    const size_t index = fleetEndpoint.port - firstPort;
    return index < m_daemons.size() ? std::optional(index) : std::nullopt;
}

void FleetSimulation::onExchange(size_t daemon, const fleet::SendExchange &command)
{
    const uint64_t generation = m_daemons[daemon].generation;
    const auto target = daemonAt(command.to);
    ++m_peerMessages;
    schedule(command.timeout, [this, daemon, generation, number = command.exchange] {
        deliver(daemon, generation, core::FleetExchangeFailed {.exchange = number});
    });
    const bool isLost = !target || !areConnected(daemon, *target)
                        || m_random.uniformDouble() < m_options.peerLoss;
    if (isLost) {
        return;
    }
    const int copies = m_random.uniformDouble() < m_options.peerDuplicates ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const uint64_t exchange = ++m_lastExchange;
        m_exchanges[exchange]
            = {.from = daemon, .fromGeneration = generation, .number = command.exchange};
        const model::Duration delay = m_options.peerDelay * (copy == 0 ? 1 : 50);
        schedule(delay, [this, target, exchange, message = command.message] {
            deliver(*target, m_daemons[*target].generation,
                    core::FleetRequestReceived {.exchange = exchange, .message = message});
        });
    }
}

void FleetSimulation::onReply(size_t daemon, const fleet::SendReply &command)
{
    const auto it = m_exchanges.find(command.exchange);
    if (it == m_exchanges.end()) {
        return;
    }
    const PeerExchange exchange = it->second;
    m_exchanges.erase(it);
    const bool isLost
        = !areConnected(daemon, exchange.from) || m_random.uniformDouble() < m_options.peerLoss;
    if (isLost) {
        return;
    }
    schedule(m_options.peerDelay, [this, exchange, message = command.message] {
        deliver(exchange.from, exchange.fromGeneration,
                core::FleetReplyReceived {.exchange = exchange.number, .message = message});
    });
}

void FleetSimulation::onFetch(size_t daemon, const core::FetchConfiguration &command)
{
    const auto peer = daemonAt(command.from);
    const bool isReachable = peer && areConnected(daemon, *peer) && m_daemons[*peer].core
                             && m_daemons[*peer].core->revisions().text();
    if (!isReachable) {
        return;
    }
    const config::RevisionStore &revisions = m_daemons[*peer].core->revisions();
    const config::ConfigurationFile file {.revision = revisions.revision(),
                                          .text = *revisions.text()};
    schedule(m_options.peerDelay * 2, [this, daemon, generation = m_daemons[daemon].generation,
                                       file] {
        deliver(daemon, generation, core::ConfigurationOffered {.file = file, .isFromPeer = true});
    });
}

void FleetSimulation::readPlatform(size_t daemon)
{
    Daemon &row = m_daemons[daemon];
    if (m_isPlatformDown || row.lastReadRevision == m_platformRevision) {
        return;
    }
    row.lastReadRevision = m_platformRevision;
    const config::ConfigurationFile file {.revision = model::Revision(m_platformRevision),
                                          .text = m_platformText};
    schedule(platformDelay, [this, daemon, generation = row.generation, file] {
        deliver(daemon, generation, core::ConfigurationOffered {.file = file});
    });
}

model::Duration FleetSimulation::deadlineOf(const std::string &route) const
{
    const config::RouteConfig *config = m_configuration->route(model::RouteId(route));
    return config ? config->defaultDeadline : model::seconds(6);
}

uint64_t FleetSimulation::submit(size_t daemon, const Submission &submission)
{
    const uint64_t number = ++m_lastRequest;
    Result result;
    result.submission = submission;
    result.callerId = "r" + std::to_string(number);
    result.daemon = daemon;
    result.submittedAt = m_now;
    result.deadline = m_now + submission.budget.value_or(deadlineOf(submission.route));
    result.isDaemonLost = !isAlive(daemon);
    // The body identifies the request, so that an answer to a different request is detected.
    const std::string body = submission.body.empty() ? result.callerId : submission.body;
    m_results.emplace(number, result);
    deliver(daemon, m_daemons[daemon].generation,
            pipeline::RequestArrived {.request = model::RequestId(number),
                                      .callerId = model::CallerRequestId(result.callerId),
                                      .account = model::AccountId(submission.account),
                                      .route = model::RouteId(submission.route),
                                      .priority = submission.priority,
                                      .budget = submission.budget,
                                      .expectedTokens = submission.expectedTokens,
                                      .wantsStream = submission.wantsStream,
                                      .operationKey = submission.operationKey,
                                      .body = model::makeBody(body)});
    return number;
}

void FleetSimulation::load(double requestsPerSecond, model::Duration duration,
                           const std::function<Submission(model::Random &)> &make)
{
    auto random = std::make_shared<model::Random>(m_random.next64());
    double at = 0.0;
    size_t daemon = 0;
    while (true) {
        at += -std::log(1.0 - random->uniformDouble()) / requestsPerSecond;
        if (at > model::toSeconds(duration)) {
            return;
        }
        const Submission submission = make(*random);
        const size_t target = daemon++ % m_daemons.size();
        schedule(model::Duration(std::llround(at * 1e6)), [this, target, submission] {
            size_t alive = target;
            for (size_t i = 0; i < m_daemons.size() && !isAlive(alive); ++i) {
                alive = (alive + 1) % m_daemons.size();
            }
            submit(alive, submission);
        });
    }
}

std::string FleetSimulation::openOperation(size_t daemon)
{
    const uint64_t number = ++m_lastRequest;
    deliver(daemon, m_daemons[daemon].generation,
            core::OperationRequested {.request = model::RequestId(number)});
    return m_operationKeys[number];
}

void FleetSimulation::publish(uint64_t revision, const std::string &text)
{
    servePlatformFile(revision, text);
}

void FleetSimulation::servePlatformFile(uint64_t revision, const std::string &text)
{
    m_platformRevision = revision;
    m_platformText = text;
}

void FleetSimulation::setLeaving(const std::string &upstream)
{
    m_leavingSince.emplace(upstream, m_now);
    for (size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
        readInstanceList(daemon);
    }
}

void FleetSimulation::readInstanceList(size_t daemon)
{
    constexpr uint32_t longestPollMs = 1200;
    core::InstanceListRead list;
    for (const auto &[upstream, since] : m_leavingSince) {
        list.upstreams.push_back(
            {.id = model::UpstreamId(upstream), .incarnation = 1, .isLeaving = true});
    }
    schedule(model::milliseconds(m_random.below(longestPollMs)),
             [this, daemon, generation = m_daemons[daemon].generation, list] {
                 deliver(daemon, generation, list);
             });
}

void FleetSimulation::pause(size_t daemon, model::Duration duration)
{
    m_daemons[daemon].pausedUntil = m_now + duration;
}

void FleetSimulation::kill(size_t daemon)
{
    m_daemons[daemon].core.reset();
    ++m_daemons[daemon].generation;
    for (auto &[number, result] : m_results) {
        if (result.daemon == daemon && !result.answer) {
            result.isDaemonLost = true;
        }
    }
}

void FleetSimulation::restart(size_t daemon)
{
    if (isAlive(daemon)) {
        kill(daemon);
    }
    start(daemon);
}

void FleetSimulation::drain(size_t daemon)
{
    deliver(daemon, m_daemons[daemon].generation, core::DrainRequested {});
}

void FleetSimulation::cutPath(size_t daemon, const std::string &upstream, bool isCut)
{
    if (isCut) {
        m_cutPaths.insert({daemon, upstream});
    } else {
        m_cutPaths.erase({daemon, upstream});
    }
}

health::HealthState FleetSimulation::stateOf(size_t daemon, const std::string &upstream) const
{
    const core::Core &core = *m_daemons[daemon].core;
    return core.health().row(*core.upstreams().find(model::UpstreamId(upstream))).state;
}

std::vector<const Result *> FleetSimulation::resultsWithLabel(const std::string &label) const
{
    std::vector<const Result *> found;
    for (const auto &[number, result] : m_results) {
        if (result.submission.label == label) {
            found.push_back(&result);
        }
    }
    return found;
}

size_t FleetSimulation::countEvents(observability::EventCode code) const
{
    return static_cast<size_t>(
        std::count_if(m_events.begin(), m_events.end(), [code](const RecordedEvent &recorded) {
            return recorded.event.code == code;
        }));
}

uint32_t FleetSimulation::runCount(const std::string &callerId) const
{
    uint32_t total = 0;
    for (const auto &[name, upstream] : m_upstreams) {
        for (const auto &[key, runs] : upstream->runs()) {
            total += key.first == callerId ? runs : 0;
        }
    }
    return total;
}

uint64_t FleetSimulation::totalRuns() const
{
    uint64_t total = 0;
    for (const auto &[name, upstream] : m_upstreams) {
        total += upstream->totalRuns();
    }
    return total;
}

void FleetSimulation::checkPromises() const
{
    std::vector<std::string> violations = m_violations;
    std::map<std::string, uint32_t> runs;
    for (const auto &[name, upstream] : m_upstreams) {
        for (const auto &[key, count] : upstream->runs()) {
            runs[key.first] += count;
        }
    }
    const config::ConfigurationPtr configuration = m_configuration;
    for (const auto &[number, result] : m_results) {
        const uint32_t ran = runs.contains(result.callerId) ? runs.at(result.callerId) : 0;
        if (!result.answer) {
            if (!result.isDaemonLost) {
                violations.push_back("no answer to " + result.callerId);
            }
            continue;
        }
        const config::RouteConfig *route
            = configuration->route(model::RouteId(result.submission.route));
        if (result.answer->outcome == model::Outcome::NotRun && ran > 0) {
            violations.push_back("outcome \"not run\" for " + result.callerId
                                 + ", which was executed");
        }
        if (route && !route->isIdempotent && route->stages.size() == 1 && ran > 1) {
            violations.push_back(result.callerId
                                 + " is not idempotent and was executed more than once");
        }
        const bool isComparable = result.isComplete() && result.answer->body && route
                                  && result.submission.body.empty()
                                  && result.submission.expectedTokens == 0;
        if (isComparable) {
            std::string expected = result.callerId;
            for (const config::StageConfig &stage : route->stages) {
                const bool isStreaming = configuration->pool(stage.pool)->isStreaming;
                if (isStreaming) {
                    expected = "0 ";
                } else {
                    expected.insert(0, stage.path + "(").append(")");
                }
            }
            if (*result.answer->body != expected) {
                violations.push_back("the answer to " + result.callerId
                                     + " belongs to another request: " + *result.answer->body);
            }
        }
    }
    if (!violations.empty()) {
        std::string message;
        for (const std::string &line : violations) {
            message += line + "\n";
        }
        throw std::runtime_error(message);
    }
}

} // namespace citronpick::testing
