#ifndef CITRONPICK_DAEMON_INTERNAL_STAGEJOBCODEC_H
#define CITRONPICK_DAEMON_INTERNAL_STAGEJOBCODEC_H

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "relay/stagejob.h"

namespace citronpick::daemon
{

//! Stages as daemons hand them to each other, as JSON text. Times travel as what is left of them,
//! so that no two daemons need agree on a clock. Decoding gives InvalidArgument for anything else.
std::string encodeStageJob(const relay::StageJob &job, model::TimePoint now);
absl::StatusOr<relay::StageJob> decodeStageJob(std::string_view text, model::TimePoint now);
std::string encodeJobResult(const relay::JobResult &result);
absl::StatusOr<relay::JobResult> decodeJobResult(std::string_view text);

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_STAGEJOBCODEC_H
