#include "model/hash.h"

#include <xxhash.h>

namespace citronpick::model
{

uint64_t hash64(std::string_view text, uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace citronpick::model
