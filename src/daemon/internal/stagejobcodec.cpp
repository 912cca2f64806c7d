#include "daemon/internal/stagejobcodec.h"

#include <nlohmann/json.hpp>

namespace citronpick::daemon
{

namespace
{

using Json = nlohmann::json;

} // namespace

std::string encodeStageJob(const relay::StageJob &job, model::TimePoint now)
{
    Json document {{"pool", job.pool.text()},
                   {"request", job.request.text()},
                   {"stage", job.stage},
                   {"pieces", job.pieceCount},
                   {"key", job.key},
                   {"inputs", job.inputs},
                   {"priority", job.priority},
                   {"spentUs", job.workSpent.count()},
                   {"dueUs", (job.due - now).count()},
                   {"leftUs", (job.deadline - now).count()},
                   {"zone", job.preferredZone.text()},
                   {"releasesInputs", job.releasesInputs}};
    if (job.inputsExpireAt != model::TimePoint::max()) {
        document["inputsLeftUs"] = (job.inputsExpireAt - now).count();
    }
    if (job.isRelayed) {
        document["isRelayed"] = true;
    }
    if (job.isInquiry) {
        document["isInquiry"] = true;
    }
    // Texts from callers' headers may hold bytes that are not valid UTF-8.
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<relay::StageJob> decodeStageJob(std::string_view text, model::TimePoint now)
{
    const Json document = Json::parse(text, nullptr, false);
    try {
        relay::StageJob job {.pool = model::PoolId(document.at("pool")),
                             .request = model::CallerRequestId(document.at("request")),
                             .stage = document.at("stage"),
                             .pieceCount = document.at("pieces"),
                             .key = document.at("key"),
                             .inputs = document.at("inputs"),
                             .priority = document.at("priority"),
                             .due = now + model::Duration(document.at("dueUs").get<int64_t>()),
                             .deadline
                             = now + model::Duration(document.at("leftUs").get<int64_t>()),
                             .preferredZone = model::ZoneId(document.at("zone")),
                             .releasesInputs = document.at("releasesInputs")};
        if (document.contains("inputsLeftUs")) {
            job.inputsExpireAt = now + model::Duration(document.at("inputsLeftUs").get<int64_t>());
        }
        job.isRelayed = document.value("isRelayed", false);
        job.isInquiry = document.value("isInquiry", false);
        // Absent in jobs of daemons of an earlier version.
        job.workSpent = model::Duration(document.value("spentUs", int64_t {0}));
        if (job.isInquiry != (job.pieceCount == 0) || job.pieceCount > relay::maxPiecesPerStage) {
            return absl::InvalidArgumentError(
                "stage job has no pieces, too many pieces, or pieces although it is an inquiry");
        }
        return job;
    } catch (const Json::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

namespace
{

// Writes two values per priority, the on-time wait and the late wait, most urgent priority first.
std::vector<int64_t> encodeForecast(const relay::QueueForecast &forecast)
{
    std::vector<int64_t> waits;
    for (const relay::QueueWait &wait : forecast.waits) {
        waits.push_back(wait.onTime.count());
        waits.push_back(wait.late.count());
    }
    return waits;
}

relay::QueueForecast decodeForecast(const std::vector<int64_t> &waits)
{
    relay::QueueForecast forecast;
    for (size_t i = 0; i < forecast.waits.size() && 2 * i + 1 < waits.size(); ++i) {
        forecast.waits[i]
            = {.onTime = model::Duration(waits[2 * i]), .late = model::Duration(waits[2 * i + 1])};
    }
    return forecast;
}

} // namespace

std::string encodeJobResult(const relay::JobResult &result)
{
    return Json {{"failure", static_cast<int>(result.failure)},
                 {"handles", result.handles},
                 {"zone", result.zone.text()},
                 {"retryAfterUs", result.retryAfter.count()},
                 {"tookUs", result.duration.count()},
                 {"wasLate", result.wasLate},
                 {"areInputsReleased", result.areInputsReleased},
                 {"waitsUs", encodeForecast(result.forecast)}}
        .dump();
}

absl::StatusOr<relay::JobResult> decodeJobResult(std::string_view text)
{
    const Json document = Json::parse(text, nullptr, false);
    try {
        const int failure = document.at("failure");
        if (failure < 0 || failure > static_cast<int>(relay::JobFailure::Unavailable)) {
            return absl::InvalidArgumentError("unknown failure code in job result");
        }
        return relay::JobResult {.failure = static_cast<relay::JobFailure>(failure),
                                 .handles = document.at("handles"),
                                 .zone = model::ZoneId(document.at("zone")),
                                 .retryAfter
                                 = model::Duration(document.at("retryAfterUs").get<int64_t>()),
                                 .duration = model::Duration(document.at("tookUs").get<int64_t>()),
                                 .wasLate = document.at("wasLate"),
                                 .areInputsReleased = document.at("areInputsReleased"),
                                 .forecast = decodeForecast(document.at("waitsUs"))};
    } catch (const Json::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace citronpick::daemon
