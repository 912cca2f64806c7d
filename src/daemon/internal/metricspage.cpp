#include "daemon/internal/metricspage.h"

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

//! Builds one metric family.
class MetricFamilyBuilder
{
public:
    MetricFamilyBuilder(std::string name, std::string help, MetricType type)
    {
        m_family.name = std::move(name);
        m_family.help = std::move(help);
        m_family.type = type;
    }

    void add(double value, std::vector<ClientMetric::Label> labels = {})
    {
        ClientMetric metric;
        metric.label = std::move(labels);
        metric.counter.value = value;
        metric.gauge.value = value;
        m_family.metric.push_back(std::move(metric));
    }

    void moveTo(std::vector<MetricFamily> &families)
    {
        families.push_back(std::move(m_family));
    }

private:
    MetricFamily m_family;
};

void addStages(const pipeline::CostTable &costs, std::vector<MetricFamily> &families)
{
    MetricFamilyBuilder attempts("citronpick_stage_attempts_total", "Attempts by stage and kind",
                                 MetricType::Counter);
    MetricFamilyBuilder time("citronpick_stage_upstream_seconds_total",
                             "Seconds of upstream time by stage and use", MetricType::Counter);
    MetricFamilyBuilder tokens("citronpick_stage_tokens_total", "Tokens by stage",
                               MetricType::Counter);
    for (const auto &[key, cost] : costs.stages) {
        const ClientMetric::Label route {"route", key.route.text()};
        const ClientMetric::Label stage {"stage", key.stage};
        const uint64_t extra = cost.retries + cost.hedges;
        attempts.add(static_cast<double>(cost.attempts - extra), {route, stage, {"kind", "first"}});
        attempts.add(static_cast<double>(cost.retries), {route, stage, {"kind", "retry"}});
        attempts.add(static_cast<double>(cost.hedges), {route, stage, {"kind", "hedge"}});
        time.add(model::toSeconds(cost.upstreamTime - cost.wastedTime),
                 {route, stage, {"use", "answered"}});
        time.add(model::toSeconds(cost.wastedTime), {route, stage, {"use", "wasted"}});
        tokens.add(static_cast<double>(cost.tokens), {route, stage});
    }
    attempts.moveTo(families);
    time.moveTo(families);
    tokens.moveTo(families);
}

void addRoutes(const pipeline::CostTable &costs, std::vector<MetricFamily> &families)
{
    MetricFamilyBuilder outcomes("citronpick_requests_total", "Requests by route and outcome",
                                 MetricType::Counter);
    MetricFamilyBuilder time("citronpick_request_seconds_total",
                             "Total duration of complete requests by route, in seconds",
                             MetricType::Counter);
    for (const auto &[route, count] : costs.routes) {
        const ClientMetric::Label label {"route", route.text()};
        outcomes.add(static_cast<double>(count.complete), {label, {"outcome", "complete"}});
        outcomes.add(static_cast<double>(count.notRun), {label, {"outcome", "not-run"}});
        outcomes.add(static_cast<double>(count.failed), {label, {"outcome", "failed"}});
        outcomes.add(static_cast<double>(count.unknown), {label, {"outcome", "unknown"}});
        time.add(model::toSeconds(count.totalTime), {label});
    }
    outcomes.moveTo(families);
    time.moveTo(families);
    MetricFamilyBuilder accounts("citronpick_account_upstream_seconds_total",
                                 "Seconds of upstream time by account and use",
                                 MetricType::Counter);
    for (const auto &[account, cost] : costs.accounts) {
        const ClientMetric::Label label {"account", account.text()};
        accounts.add(model::toSeconds(cost.upstreamTime - cost.wastedTime),
                     {label, {"use", "answered"}});
        accounts.add(model::toSeconds(cost.wastedTime), {label, {"use", "wasted"}});
    }
    accounts.moveTo(families);
}

void addUpstreams(const core::Core &core, std::vector<MetricFamily> &families)
{
    MetricFamilyBuilder inFlight("citronpick_upstream_in_flight",
                                 "Requests in flight at the upstream", MetricType::Gauge);
    MetricFamilyBuilder limit("citronpick_upstream_limit", "Concurrency limit of the upstream",
                              MetricType::Gauge);
    MetricFamilyBuilder state(
        "citronpick_upstream_state",
        "Health state: 0 active, 1 suspect, 2 ejected, 3 probing, 4 trial, 5 ramping",
        MetricType::Gauge);
    const auto &upstreams = core.upstreams().upstreams();
    for (uint32_t i = 0; i < upstreams.size(); ++i) {
        if (upstreams[i].isRetired) {
            continue;
        }
        const ClientMetric::Label label {"upstream", upstreams[i].config.id.text()};
        inFlight.add(upstreams[i].inFlight, {label});
        limit.add(upstreams[i].limit.value(), {label});
        state.add(static_cast<double>(core.health().row(model::UpstreamRow {i}).state), {label});
    }
    inFlight.moveTo(families);
    limit.moveTo(families);
    state.moveTo(families);
}

void addMetric(std::vector<MetricFamily> &families, const char *name, const char *help,
               double value, MetricType type = MetricType::Gauge)
{
    MetricFamilyBuilder family(name, help, type);
    family.add(value);
    family.moveTo(families);
}

} // namespace

std::string metricsPage(const core::Core &core, const DaemonCounts &counts)
{
    std::vector<MetricFamily> families;
    addMetric(families, "citronpick_configuration_revision", "Revision of the active configuration",
              static_cast<double>(core.revisions().revision().value()));
    addMetric(families, "citronpick_requests_in_flight", "Requests in progress",
              static_cast<double>(core.requests().requestCount()));
    addMetric(families, "citronpick_attempts_open", "Attempts in progress",
              static_cast<double>(counts.openAttempts));
    addMetric(families, "citronpick_stream_buffer_bytes",
              "Streamed bytes buffered for slow callers",
              static_cast<double>(counts.streamBufferBytes));
    addMetric(families, "citronpick_connections_open", "Open caller connections",
              static_cast<double>(counts.openConnections));
    addMetric(families, "citronpick_members_alive", "Daemons considered alive",
              static_cast<double>(core.fleet().members().usableCount()));
    addMetric(families, "citronpick_operation_keys", "Operation keys stored",
              static_cast<double>(core.operations().size()));
    addMetric(families, "citronpick_bad_requests_total", "Malformed requests",
              static_cast<double>(counts.badRequests), MetricType::Counter);
    addMetric(families, "citronpick_resident_bytes", "Resident memory of the process",
              static_cast<double>(counts.residentBytes));
    addMetric(families, "citronpick_resident_bytes_limit",
              "Resident memory above which callers are refused or closed",
              static_cast<double>(counts.maxResidentBytes));
    addMetric(families, "citronpick_room_refused_total", "Requests refused for lack of memory",
              static_cast<double>(counts.refusedForRoom), MetricType::Counter);
    addMetric(families, "citronpick_room_closed_total", "Connections closed for lack of memory",
              static_cast<double>(counts.closedForRoom), MetricType::Counter);
    addMetric(families, "citronpick_dropped_answers_total",
              "Answers dropped because they arrived too late",
              static_cast<double>(core.requests().droppedAnswers()), MetricType::Counter);
    addMetric(families, "citronpick_fleet_sent_bytes_total",
              "Estimated bytes sent to other daemons",
              static_cast<double>(core.fleet().sentBytesEstimate()), MetricType::Counter);
    addRoutes(core.requests().costs(), families);
    addStages(core.requests().costs(), families);
    addUpstreams(core, families);
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace citronpick::daemon
