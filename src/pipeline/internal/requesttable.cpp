#include "pipeline/requesttable.h"

#include <algorithm>

namespace citronpick::pipeline
{

Request &RequestTable::add(Request request)
{
    const model::RequestId id = request.id;
    auto [it, isNew] = m_requests.emplace(id, std::make_unique<Request>(std::move(request)));
    return *it->second;
}

Request *RequestTable::find(model::RequestId id)
{
    const auto it = m_requests.find(id);
    return it == m_requests.end() ? nullptr : it->second.get();
}

void RequestTable::remove(model::RequestId id)
{
    m_requests.erase(id);
}

Attempt &RequestTable::add(Attempt attempt)
{
    const model::AttemptId id = attempt.id;
    auto [it, isNew] = m_attempts.emplace(id, std::make_unique<Attempt>(attempt));
    return *it->second;
}

Attempt *RequestTable::find(model::AttemptId id)
{
    const auto it = m_attempts.find(id);
    return it == m_attempts.end() ? nullptr : it->second.get();
}

void RequestTable::remove(model::AttemptId id)
{
    m_attempts.erase(id);
}

// The identifiers are sorted because the iteration order of a hash table is not deterministic, and
// the same events must give the same decisions.
std::vector<model::RequestId> RequestTable::requestIds() const
{
    std::vector<model::RequestId> ids;
    ids.reserve(m_requests.size());
    for (const auto &[id, request] : m_requests) {
        ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

std::vector<model::AttemptId> RequestTable::attemptsAt(model::UpstreamRow upstream) const
{
    std::vector<model::AttemptId> ids;
    for (const auto &[id, attempt] : m_attempts) {
        if (attempt->upstream == upstream) {
            ids.push_back(id);
        }
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

} // namespace citronpick::pipeline
