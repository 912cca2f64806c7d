#include "config/revisionstore.h"

#include <algorithm>

#include "model/hash.h"
#include "model/invariant.h"

namespace citronpick::config
{

OfferResult RevisionStore::offer(const ConfigurationFile &file, absl::Status &status)
{
    status = absl::OkStatus();
    if (file.revision < m_revision) {
        return OfferResult::Older;
    }
    const uint64_t digest = model::hash64(file.text);
    const bool isSameRevision = file.revision == m_revision && m_configuration;
    if (isSameRevision && digest == m_digest) {
        return OfferResult::Unchanged;
    }
    // Two texts have the same revision. All daemons must choose the same one without coordination,
    // so the text with the higher digest wins.
    if (isSameRevision && digest < m_digest) {
        return OfferResult::ConflictKept;
    }
    auto parsed = parseConfiguration(file.text);
    if (!parsed.ok()) {
        status = parsed.status();
        m_highestRejected = std::max(m_highestRejected, file.revision);
        return OfferResult::Rejected;
    }
    model::checkInvariant("the configuration revision never decreases",
                          file.revision >= m_revision);
    m_configuration = *std::move(parsed);
    m_text = std::make_shared<const std::string>(file.text);
    m_revision = file.revision;
    m_digest = digest;
    return isSameRevision ? OfferResult::ConflictReplaced : OfferResult::Accepted;
}

} // namespace citronpick::config
