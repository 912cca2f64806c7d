#include "daemon/internal/relaymetrics.h"

#include <limits>
#include <string>
#include <utility>
#include <vector>

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace citronpick::daemon
{

namespace
{

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

MetricFamily family(const char *name, const char *help, MetricType type, double value)
{
    ClientMetric metric;
    metric.counter.value = value;
    metric.gauge.value = value;
    return {.name = name, .help = help, .type = type, .metric = {metric}};
}

MetricFamily counter(const char *name, const char *help, uint64_t value)
{
    return family(name, help, MetricType::Counter, static_cast<double>(value));
}

MetricFamily gauge(const char *name, const char *help, uint64_t value)
{
    return family(name, help, MetricType::Gauge, static_cast<double>(value));
}

MetricFamily histogram(const char *name, const char *help, const observability::Histogram &source)
{
    ClientMetric metric;
    uint64_t cumulativeCount = 0;
    for (size_t i = 0; i < source.counts().size(); ++i) {
        cumulativeCount += source.counts()[i];
        const bool isLast = i == observability::Histogram::boundsSeconds.size();
        metric.histogram.bucket.push_back(
            {.cumulative_count = cumulativeCount,
             .upper_bound = isLast ? std::numeric_limits<double>::infinity()
                                   : observability::Histogram::boundsSeconds[i]});
    }
    metric.histogram.sample_count = cumulativeCount;
    metric.histogram.sample_sum = source.sumSeconds();
    return {.name = name, .help = help, .type = MetricType::Histogram, .metric = {metric}};
}

//! Values of one metric by one label.
MetricFamily labelled(const char *name, const char *help, MetricType type, const char *label,
                      const std::vector<std::pair<const char *, uint64_t>> &values)
{
    MetricFamily result {.name = name, .help = help, .type = type, .metric = {}};
    for (const auto &[text, value] : values) {
        ClientMetric metric;
        metric.label = {{.name = label, .value = text}};
        metric.counter.value = static_cast<double>(value);
        metric.gauge.value = static_cast<double>(value);
        result.metric.push_back(metric);
    }
    return result;
}

MetricFamily heldBytes(const net::HeldBytesBudget &budget)
{
    return labelled("citronpick_relay_held_bytes", "Bytes held for callers", MetricType::Gauge,
                    "holder",
                    {{"input", budget.held(net::Holder::Input)},
                     {"heads", budget.held(net::Holder::Heads)},
                     {"bodies", budget.held(net::Holder::Bodies)},
                     {"answers", budget.held(net::Holder::Answers)}});
}

MetricFamily closedForRoom(const net::RoomCounters &room)
{
    return labelled("citronpick_relay_room_total", "Callers refused or closed to make room",
                    MetricType::Counter, "reason",
                    {{"refused", room.refused},
                     {"slow-reader", room.slowReaders},
                     {"silent", room.silent},
                     {"unaccepted", room.unaccepted}});
}

MetricFamily refusalsByPriority(const relay::RelayCounters &counters)
{
    MetricFamily result {.name = "citronpick_relay_refusals_by_priority_total",
                         .help = "Requests refused by this daemon, by priority and reason",
                         .type = MetricType::Counter};
    for (const auto &[key, count] : counters.refusedByPriority) {
        ClientMetric metric;
        metric.label = {{"priority", std::to_string(key.first)},
                        {"reason", std::string(relay::toString(key.second))}};
        metric.counter.value = static_cast<double>(count);
        result.metric.push_back(std::move(metric));
    }
    return result;
}

MetricFamily lateStagesByPriority(const relay::RelayCounters &counters)
{
    MetricFamily result {.name = "citronpick_relay_late_stages_total",
                         .help = "Stages that were queued as late, by priority",
                         .type = MetricType::Counter};
    for (const auto &[priority, count] : counters.lateStagesByPriority) {
        ClientMetric metric;
        metric.label = {{"priority", std::to_string(priority)}};
        metric.counter.value = static_cast<double>(count);
        result.metric.push_back(std::move(metric));
    }
    return result;
}

} // namespace

std::string relayMetricsPage(const RelayMetricsSource &source)
{
    const relay::RelayCounters &counters = source.relay.counters();
    const std::vector<MetricFamily> families {
        counter("citronpick_relay_requests_total", "Requests received", counters.arrived),
        counter("citronpick_relay_answers_total", "Answers forwarded completely",
                counters.answersForwarded),
        counter("citronpick_relay_refusals_total", "Requests refused by this daemon",
                counters.refused),
        counter("citronpick_relay_unconfirmed_refusals_total",
                "Answers not forwarded, as only their status says that the request has not run",
                counters.unconfirmedRefusals),
        refusalsByPriority(counters),
        lateStagesByPriority(counters),
        counter("citronpick_relay_broken_total", "Answers aborted before the end",
                counters.answersAborted),
        counter("citronpick_relay_abandoned_total",
                "Callers that disconnected before the end of the answer",
                counters.callersDisconnected),
        counter("citronpick_relay_attempts_total", "Attempts sent to upstreams", counters.attempts),
        counter("citronpick_relay_retries_total", "Attempts that were retries", counters.retries),
        counter("citronpick_relay_resumes_total", "Streams resumed on another attempt",
                counters.resumes),
        counter("citronpick_relay_batches_total", "Batches started", counters.batches),
        counter("citronpick_relay_pieces_total", "Pieces sent in batches", counters.batchedPieces),
        counter("citronpick_relay_forwards_total", "Stages forwarded to other daemons",
                counters.forwardedJobs),
        counter("citronpick_relay_moved_jobs_total",
                "Queued stages passed on to a scheduler that became known later",
                counters.movedJobs),
        counter("citronpick_relay_refused_batches_total", "Batches that upstreams refused to start",
                counters.refusedBatches),
        counter("citronpick_relay_pieces_without_storage_total",
                "Pieces whose results upstreams could not store",
                source.relay.batchCounters().piecesWithoutStorage),
        counter("citronpick_relay_unused_results_total",
                "Results of stages that were discarded before their stage was done",
                source.relay.batchCounters().unusedResults),
        counter("citronpick_relay_stage_restarts_total", "Requests whose stages were restarted",
                counters.stageRestarts),
        counter("citronpick_relay_quarantined_parts_total",
                "Parts of prompts that were found to crash upstreams", counters.quarantinedParts),
        counter("citronpick_relay_released_parts_total",
                "Suspected parts of prompts that an answer cleared", counters.releasedParts),
        counter("citronpick_relay_leaving_notices_total",
                "Upstreams that stated in an answer that they leave", counters.leavingNotices),
        counter("citronpick_relay_rest_notices_total",
                "Answers in which upstreams asked for a rest", counters.restNotices),
        gauge("citronpick_relay_resting_upstreams", "Upstreams that get no work during a rest",
              source.relay.upstreams().restingCount(source.now)),
        gauge("citronpick_relay_cold_upstreams", "Upstreams that take little after their start",
              source.relay.upstreams().coldCount(source.now)),
        counter("citronpick_relay_cold_calls_total", "Requests and batches sent to cold upstreams",
                counters.coldCalls),
        counter("citronpick_relay_limit_notices_total",
                "Upstreams that began to limit what they take from all daemons together",
                counters.limitNotices),
        gauge("citronpick_relay_limited_upstreams", "Upstreams that limit what they take",
              source.relay.upstreams().limitedCount()),
        counter("citronpick_relay_limited_calls_total",
                "Requests and batches sent to limited upstreams", counters.limitedCalls),
        gauge("citronpick_relay_measured_engines", "Model engines whose speed is known",
              source.relay.measuredEngines()),
        gauge("citronpick_relay_evacuated_zones", "Availability zones that are emptied",
              source.relay.upstreams().evacuatedZones().size()),
        gauge("citronpick_relay_evacuated_upstreams", "Upstreams in zones that are emptied",
              source.relay.upstreams().evacuatedCount()),
        counter("citronpick_upstream_connects_total", "Connections opened to upstreams",
                source.upstreamConnects),
        counter("citronpick_relay_late_turns_total",
                "Turns of the event loop that ended 250 ms late or more", source.lateTurns),
        counter("citronpick_log_suppressed_total", "Log lines suppressed", source.suppressedLines),
        histogram("citronpick_relay_first_event_seconds",
                  "Time from arrival to the first event of a stream", counters.firstEvents),
        histogram("citronpick_relay_answer_seconds", "Time from arrival to the end of the answer",
                  counters.answers),
        gauge("citronpick_relay_open_requests", "Requests in progress",
              source.relay.requestCount()),
        gauge("citronpick_relay_connections", "Open caller connections", source.connections),
        heldBytes(source.heldBytes),
        gauge("citronpick_relay_held_bytes_peak", "Most bytes held for callers at a time",
              source.heldBytes.peak()),
        gauge("citronpick_relay_held_bytes_limit", "Limit on bytes held for callers",
              source.heldBytes.limit()),
        gauge("citronpick_process_held_bytes", "Bytes held by all listeners",
              source.limits.heldBytes().used()),
        gauge("citronpick_process_held_bytes_peak", "Most bytes held by all listeners at a time",
              source.limits.heldBytes().peak()),
        gauge("citronpick_process_held_bytes_limit", "Limit on bytes held by all listeners",
              source.limits.heldBytes().limit()),
        gauge("citronpick_process_connections", "Connections accepted by all listeners",
              source.limits.connections().used()),
        closedForRoom(source.room),
        gauge("citronpick_relay_upstreams", "Upstreams in the registry",
              source.relay.upstreams().size()),
        labelled("citronpick_fleet_documents_total",
                 "Configurations, listings and large changes requested from other daemons",
                 MetricType::Counter, "outcome",
                 {{"complete", source.documents.received}, {"failed", source.documents.failed}}),
        counter("citronpick_fleet_document_bytes_total", "Bytes of these, also of incomplete ones",
                source.documents.bytes),
        gauge("citronpick_relay_configuration_revision", "Revision of the configuration in force",
              source.relay.configuration() ? source.relay.configuration()->revision().value() : 0),
        counter("citronpick_relay_configurations_applied_total",
                "Configurations that came into force", source.appliedConfigurations),
        gauge("citronpick_fleet_members", "Daemons considered alive",
              source.fleet.members().usableCount()),
    };
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace citronpick::daemon
