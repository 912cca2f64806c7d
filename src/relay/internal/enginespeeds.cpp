#include "relay/enginespeeds.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "relay/promptwork.h"

namespace citronpick::relay
{

namespace
{

//! Measurements lose half of their weight in this time; queues and speeds change within seconds.
constexpr model::Duration halfLife = model::seconds(15);
//! Measurements that are older than this have lost nearly all of their weight.
constexpr model::Duration maxAge = model::seconds(90);
//! Answers that the average spans. A slower engine is recognized after about as many.
constexpr double maxSamples = 3.0;
//! Answers that it takes until a measurement counts as much as the pool's median. A single answer
//! may have been delayed by the prompt of another request.
constexpr double priorSamples = 2.0;
//! Larger differences are caused by failures and not by speed.
constexpr double maxSlowness = 6.0;

} // namespace

double EngineSpeeds::samplesAt(const Speed &speed, model::TimePoint now)
{
    return speed.samples
           * std::exp2(-model::toSeconds(now - speed.at) / model::toSeconds(halfLife));
}

void EngineSpeeds::note(const model::UpstreamId &engine, uint64_t tokens, model::Duration took,
                        model::TimePoint now)
{
    const double time = static_cast<double>(std::max<int64_t>(1, took.count()));
    const double sample = std::log(time / promptWork(tokens));
    Speed &speed = m_engines[engine];
    const double samples = std::min(maxSamples, samplesAt(speed, now));
    speed.logTime += (sample - speed.logTime) / (samples + 1.0);
    speed.samples = samples + 1.0;
    speed.at = now;
    updateMedian(now);
}

void EngineSpeeds::updateMedian(model::TimePoint now)
{
    absl::erase_if(m_engines, [now](const auto &entry) { return now - entry.second.at > maxAge; });
    std::vector<double> times;
    times.reserve(m_engines.size());
    for (const auto &[id, speed] : m_engines) {
        times.push_back(speed.logTime);
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    m_medianLogTime = *middle;
}

EngineFigure EngineSpeeds::figureOf(const model::UpstreamId &engine, model::TimePoint now) const
{
    const auto it = m_engines.find(engine);
    if (it == m_engines.end()) {
        return {};
    }
    const double samples = samplesAt(it->second, now);
    const double certainty = samples / (samples + priorSamples);
    const double slowness = std::exp((it->second.logTime - m_medianLogTime) * certainty);
    return {.slowness = std::clamp(slowness, 1.0 / maxSlowness, maxSlowness),
            .samples = samples,
            .age = now - it->second.at};
}

} // namespace citronpick::relay
