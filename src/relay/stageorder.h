#ifndef CITRONPICK_RELAY_STAGEORDER_H
#define CITRONPICK_RELAY_STAGEORDER_H

#include <cstdint>
#include <vector>

#include "relay/relayconfiguration.h"

namespace citronpick::relay
{

//! Indexes of the stages, each behind those whose results it uses. Leaves out stages that use each
//! other's results in a cycle, and those behind them.
std::vector<uint32_t> stageOrder(const std::vector<StageRule> &stages);

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_STAGEORDER_H
