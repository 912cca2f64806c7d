#ifndef CITRONPICK_MODEL_ABSLVIEW_H
#define CITRONPICK_MODEL_ABSLVIEW_H

#include <string_view>

#include <absl/strings/string_view.h>

namespace citronpick::model
{

// In Debian's build of Abseil, absl::string_view is not an alias of std::string_view.
inline absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

inline std::string_view fromAbsl(absl::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace citronpick::model

#endif // CITRONPICK_MODEL_ABSLVIEW_H
