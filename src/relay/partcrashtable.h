#ifndef CITRONPICK_RELAY_PARTCRASHTABLE_H
#define CITRONPICK_RELAY_PARTCRASHTABLE_H

#include <compare>
#include <deque>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "model/ids.h"
#include "model/time.h"
#include "relay/partsketch.h"
#include "relay/relayevents.h"

namespace citronpick::relay
{

using PartFingerprints = std::vector<model::Fingerprint>;

//! Fingerprints of the parts of a prompt that other requests may share: all but the last one. The
//! most specific one comes last.
PartFingerprints sharedParts(const std::vector<PromptPart> &parts);

//! Name of one start of an upstream. An upstream can return under the same id.
model::UpstreamId startName(const model::UpstreamId &upstream, uint64_t incarnation);

//! The connection to \a upstream was lost while it ran a request with these parts in its prompt.
struct PartCrash {
    PartFingerprints parts;
    PartSketch sketch; //!< Of the parts of a long prompt that another daemon does not list.
    model::UpstreamId upstream; //!< With its start, see startName().

    friend bool operator==(const PartCrash &, const PartCrash &) = default;
};

//! What the other daemons are told of a crash. Its size is bounded, however long the prompt is.
PartCrash crashReportOf(const PartFingerprints &parts, const model::UpstreamId &upstream);

/*!
 * The crashes of the last minute and the parts of the prompts that were lost in each.
 *
 * This daemon's own reports list all parts, those of other daemons may hold a sketch instead. A
 * part that one report lists is looked up in the sketches of the others.
 */
class PartCrashTable
{
public:
    struct Occurrence {
        size_t position = 0; //!< In the prompt.
        bool isListed = false; //!< Not only found in a sketch.
    };
    //! All requests that were lost when an upstream crashed.
    struct Crash {
        model::UpstreamId upstream; //!< With the latest start that a report names.
        model::TimePoint at;
        absl::flat_hash_map<model::Fingerprint, Occurrence> parts;
        std::vector<PartSketch> sketches;

        bool mayContain(model::Fingerprint part) const;
        //! Probability that a part which none of the requests holds is found in a sketch.
        double errorRate() const;
    };

    //! Reports of one upstream within a short time belong to the same crash, whichever start of it
    //! they name.
    void add(const PartCrash &report, model::TimePoint at);
    void forgetExpired(model::TimePoint now);

    //! Oldest first.
    const std::deque<Crash> &crashes() const
    {
        return m_crashes;
    }

private:
    //! The crash of the upstream at that time; a new one if there is none.
    Crash &crashOf(const model::UpstreamId &upstream, model::TimePoint at);
    void addListed(Crash &crash, const PartFingerprints &parts);
    void addSketch(Crash &crash, const PartSketch &sketch);
    void limitSize();

    std::deque<Crash> m_crashes;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_PARTCRASHTABLE_H
