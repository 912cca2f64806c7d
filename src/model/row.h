#ifndef CITRONPICK_MODEL_ROW_H
#define CITRONPICK_MODEL_ROW_H

#include <compare>
#include <cstdint>
#include <utility>

namespace citronpick::model
{

//! Strongly typed row index of a table.
template<typename Tag>
struct Row {
    uint32_t value = 0;

    friend constexpr auto operator<=>(const Row &, const Row &) = default;

    template<typename H>
    friend H AbslHashValue(H state, const Row &row)
    {
        return H::combine(std::move(state), row.value);
    }
};

using UpstreamRow = Row<struct UpstreamRowTag>;
using PoolRow = Row<struct PoolRowTag>;

} // namespace citronpick::model

#endif // CITRONPICK_MODEL_ROW_H
