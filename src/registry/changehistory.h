#ifndef CITRONPICK_REGISTRY_CHANGEHISTORY_H
#define CITRONPICK_REGISTRY_CHANGEHISTORY_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace citronpick::registry
{

/*!
 * Remembers which registry keys were removed, and from which revisions on all removals are known.
 *
 * A mirror of the registry holds only keys with a value. Together with the removals it can tell
 * another mirror everything that changed after a revision.
 */
class ChangeHistory
{
public:
    //! Oldest removals are forgotten beyond this number.
    explicit ChangeHistory(size_t maxRemovals)
        : m_maxRemovals(maxRemovals)
    {
    }

    //! The mirror is complete as of \a revision, and nothing before it is known.
    void start(uint64_t revision);
    //! The mirror was complete as of \a before and is again as of \a now. Keys that were set and
    //! removed in between are unknown.
    void skip(uint64_t before, uint64_t now);
    void recordValue(const std::string &key);
    void recordRemoval(const std::string &key, uint64_t revision);

    //! Whether all removals after \a revision are known.
    bool covers(uint64_t revision) const;
    //! Removals after \a revision, by key, with their revisions.
    std::vector<std::pair<std::string, uint64_t>> removalsAfter(uint64_t revision) const;

private:
    //! Revisions between which some removals are unknown, both exclusive.
    struct Gap {
        uint64_t from = 0;
        uint64_t to = 0;
    };

    size_t m_maxRemovals;
    uint64_t m_startRevision = 0;
    std::deque<Gap> m_gaps;
    std::map<std::string, uint64_t> m_removals;
};

} // namespace citronpick::registry

#endif // CITRONPICK_REGISTRY_CHANGEHISTORY_H
