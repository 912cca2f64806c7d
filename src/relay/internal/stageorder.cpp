#include "relay/stageorder.h"

#include <algorithm>

namespace citronpick::relay
{

std::vector<uint32_t> stageOrder(const std::vector<StageRule> &stages)
{
    std::vector<uint32_t> order;
    std::vector<bool> isPlaced(stages.size());
    const auto canFollow = [&](const StageRule &stage) {
        return std::all_of(stage.after.begin(), stage.after.end(),
                           [&](uint32_t before) { return isPlaced[before]; });
    };
    for (bool hasGrown = true; hasGrown;) {
        hasGrown = false;
        for (uint32_t i = 0; i < stages.size(); ++i) {
            if (!isPlaced[i] && canFollow(stages[i])) {
                isPlaced[i] = true;
                order.push_back(i);
                hasGrown = true;
            }
        }
    }
    return order;
}

} // namespace citronpick::relay
