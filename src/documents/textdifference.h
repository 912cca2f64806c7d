#ifndef CITRONPICK_DOCUMENTS_TEXTDIFFERENCE_H
#define CITRONPICK_DOCUMENTS_TEXTDIFFERENCE_H

#include <compare>
#include <cstdint>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace citronpick::documents
{

//! A compressed text, as a rule as its difference from an earlier one.
struct TextDifference {
    uint64_t base = 0; //!< Digest of the earlier text; zero if none is needed.
    uint64_t digest = 0; //!< Digest of the text itself.
    std::string bytes; //!< Zstandard frame with the earlier text as its prefix.

    friend auto operator<=>(const TextDifference &, const TextDifference &) = default;
};

nlohmann::json toJson(const TextDifference &difference);
//! Throws std::exception if \a document is malformed.
TextDifference toTextDifference(const nlohmann::json &document);

} // namespace citronpick::documents

#endif // CITRONPICK_DOCUMENTS_TEXTDIFFERENCE_H
