#ifndef CITRONPICK_CONFIG_REVISIONSTORE_H
#define CITRONPICK_CONFIG_REVISIONSTORE_H

#include <memory>
#include <string>

#include <absl/status/status.h>

#include "config/configuration.h"
#include "model/ids.h"

namespace citronpick::config
{

//! Configuration file received from the platform or a peer.
struct ConfigurationFile {
    model::Revision revision;
    std::string text;
};

//! Result of RevisionStore::offer().
enum class OfferResult {
    Accepted,
    Unchanged, //!< Identical to the current file.
    Older, //!< Its revision is lower than the current one.
    Rejected, //!< Invalid; the current file is kept.
    ConflictKept, //!< Current revision with another text; the current text is kept.
    ConflictReplaced, //!< Current revision with another text, which replaces the current one.
};

//! Holds the configuration with the highest valid revision received. The revision never decreases.
class RevisionStore
{
public:
    //! Validates a file and makes it current if it supersedes the current one. \a status holds the
    //! validation errors of a rejected file.
    OfferResult offer(const ConfigurationFile &file, absl::Status &status);

    ConfigurationPtr configuration() const
    {
        return m_configuration;
    }
    //! Zero before the first valid file.
    model::Revision revision() const
    {
        return m_revision;
    }
    uint64_t digest() const
    {
        return m_digest;
    }
    //! Text of the current file, to serve to peers; null before the first valid file.
    std::shared_ptr<const std::string> text() const
    {
        return m_text;
    }
    //! The highest revision that was rejected; it is not fetched again.
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
