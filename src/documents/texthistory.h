#ifndef CITRONPICK_DOCUMENTS_TEXTHISTORY_H
#define CITRONPICK_DOCUMENTS_TEXTHISTORY_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "documents/textdifference.h"

namespace citronpick::documents
{

//! Digests of the texts that another daemon has; empty if it reads whole texts only, as daemons of
//! the version before do.
using KnownTexts = std::optional<std::vector<uint64_t>>;

struct TextHistoryOptions {
    size_t maxTexts = 4; //!< The oldest ones are forgotten beyond this number.
    size_t minTextBytes = 4096; //!< Shorter texts are not kept.
    size_t maxTextBytes = 2U << 20U; //!< Longer texts are not restored.
};

/*!
 * Keeps the last large texts, so that a change of one can be passed on between daemons in a size
 * that follows from the change and not from the text.
 */
class TextHistory
{
public:
    explicit TextHistory(TextHistoryOptions options = {})
        : m_options(options)
    {
    }

    void add(std::string_view text);
    //! Digests of the texts kept, the newest first.
    std::vector<uint64_t> digests() const;
    bool isLarge(std::string_view text) const
    {
        return text.size() >= m_options.minTextBytes;
    }

    //! Difference of \a text from the newest text that is kept here and whose digest is in
    //! \a known. Differences between the same two texts are calculated once.
    const TextDifference &difference(std::string_view text, const std::vector<uint64_t> &known);
    //! The text itself. NotFound: its base is not kept; InvalidArgument: it is malformed or too
    //! large.
    absl::StatusOr<std::string> restore(const TextDifference &difference) const;

private:
    struct Text {
        uint64_t digest = 0;
        std::string text;
    };

    const Text *find(uint64_t digest) const;

    TextHistoryOptions m_options;
    std::deque<Text> m_texts; //!< The newest first.
    std::deque<TextDifference> m_differences; //!< Those calculated last, the newest first.
};

} // namespace citronpick::documents

#endif // CITRONPICK_DOCUMENTS_TEXTHISTORY_H
