#ifndef CITRONPICK_MODEL_HASH_H
#define CITRONPICK_MODEL_HASH_H

#include <cstdint>
#include <string_view>

namespace citronpick::model
{

//! 64-bit hash whose value is the same on all daemons and across restarts.
uint64_t hash64(std::string_view text, uint64_t seed = 0);

} // namespace citronpick::model

#endif // CITRONPICK_MODEL_HASH_H
