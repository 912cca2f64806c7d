#ifndef CITRONPICK_CONFIG_REVISIONSTORE_H
#define CITRONPICK_CONFIG_REVISIONSTORE_H

#include <memory>
#include <string>

#include <absl/status/status.h>

#include "config/configuration.h"
#include "model/ids.h"

namespace citronpick::config
{

//! A file as the platform or a peer hands it out.
struct OfferedFile {
    model::Revision revision;
    std::string text;
};

//! What became of an offered file.
enum class OfferResult {
    Accepted,
    AlreadyInForce,
    Older, //!< Lower than the highest accepted revision.
    Rejected, //!< Invalid; the one in force stays.
    ConflictKept, //!< Another text under the revision in force, which stays.
    ConflictReplaced, //!< Another text under the revision in force, which it replaces.
};

//! The highest valid revision seen. It never goes back.
class RevisionStore
{
public:
    //! Checks a file and puts it in force if it is newer and valid. \a status tells faults.
    OfferResult offer(const OfferedFile &file, absl::Status &status);

    ConfigurationPtr configuration() const
    {
        return m_configuration;
    }
    //! Zero before the first file.
    model::Revision revision() const
    {
        return m_revision;
    }
    uint64_t digest() const
    {
        return m_digest;
    }
    //! The file in force, for peers that lack it; null before the first.
    std::shared_ptr<const std::string> text() const
    {
        return m_text;
    }
    //! The highest revision that was rejected; there is no use in fetching it again.
    model::Revision highestRejected() const
    {
        return m_highestRejected;
    }

private:
    ConfigurationPtr m_configuration;
    std::shared_ptr<const std::string> m_text;
    model::Revision m_revision;
    uint64_t m_digest = 0;
    model::Revision m_highestRejected;
};

} // namespace citronpick::config

#endif // CITRONPICK_CONFIG_REVISIONSTORE_H
