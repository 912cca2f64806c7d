#ifndef CITRONPICK_DAEMON_INTERNAL_STAGEJOBCODEC_H
#define CITRONPICK_DAEMON_INTERNAL_STAGEJOBCODEC_H

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "relay/stagejob.h"

namespace citronpick::daemon
{

//! Encodes stage jobs and their results as JSON text for the exchange between daemons. Points in
//! time are sent as remaining durations, so that the clocks of two daemons need not agree. Decoding
//! returns InvalidArgument for malformed text.
std::string encodeStageJob(const relay::StageJob &job, model::TimePoint now);
absl::StatusOr<relay::StageJob> decodeStageJob(std::string_view text, model::TimePoint now);
std::string encodeJobResult(const relay::JobResult &result);
absl::StatusOr<relay::JobResult> decodeJobResult(std::string_view text);

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_STAGEJOBCODEC_H
