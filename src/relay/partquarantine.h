#ifndef CITRONPICK_RELAY_PARTQUARANTINE_H
#define CITRONPICK_RELAY_PARTQUARANTINE_H

#include <vector>

#include "pipeline/quarantinetable.h"
#include "relay/relayevents.h"

namespace citronpick::relay
{

using PartFingerprints = std::vector<model::Fingerprint>;

//! Fingerprints of the parts of a prompt that other requests may share: all but the last one.
PartFingerprints sharedParts(const std::vector<PromptPart> &parts);

//! The connection to \a upstream was lost while it ran a request with these parts in its prompt.
struct PartCrash {
    PartFingerprints parts;
    model::UpstreamId upstream;

    friend auto operator<=>(const PartCrash &, const PartCrash &) = default;
};

/*!
 * Finds parts of prompts that crash each upstream that answers them, and keeps requests with such
 * parts from reaching further upstreams.
 */
class PartQuarantine
{
public:
    PartQuarantine();

    //! Returns the parts that this crash puts into quarantine.
    PartFingerprints addCrash(const PartCrash &crash, model::TimePoint now);

    //! An upstream answered a request with these parts completely. Returns the parts that other
    //! daemons may still suspect.
    PartFingerprints addAnswer(const PartFingerprints &parts, model::TimePoint now);

    //! Another daemon found at \a at that the part is deadly. Returns false if that is known, or
    //! outdated by an answer.
    bool addFinding(model::Fingerprint part, model::TimePoint at);
    //! Another daemon passed on an answer to a request with this part at \a at. Returns whether
    //! that ends a quarantine.
    bool addPeerAnswer(model::Fingerprint part, model::TimePoint at);

    bool isQuarantined(const PartFingerprints &parts, model::TimePoint now) const;

private:
    pipeline::QuarantineTable m_table;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_PARTQUARANTINE_H
