#include "requesttrace.h"

#include <algorithm>
#include <array>

namespace citronpick::ctl
{

namespace
{

//! An event that ends a request and its description.
struct FinalEvent {
    std::string_view name;
    std::string_view description;
};

constexpr std::array finalEvents = {
    FinalEvent {" answer-passed ", "An upstream answered and the complete answer was forwarded."},
    FinalEvent {" answer-broken ", "The answer had begun and could not be completed."},
    FinalEvent {" exchange-refused ",
                "The daemon refused the request, for the reason given as 'why'."},
    FinalEvent {" exchange-abandoned ", "The caller disconnected before the answer was complete."}};

} // namespace

RequestTrace::RequestTrace(std::string request)
    : m_requestField("request=" + std::move(request))
{
}

void RequestTrace::addLog(std::istream &log)
{
    for (std::string line; std::getline(log, line);) {
        const size_t at = line.find(m_requestField);
        const size_t end = at + m_requestField.size();
        const bool matchesRequest
            = at != std::string::npos && (end == line.size() || line[end] == ' ');
        if (matchesRequest) {
            m_lines.push_back(std::move(line));
        }
    }
}

// A line begins with its time in ISO 8601 format, whose lexical order is the order of time.
std::vector<std::string> RequestTrace::lines() const
{
    std::vector<std::string> sorted = m_lines;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const std::string &left, const std::string &right) {
                         return left.substr(0, left.find(' ')) < right.substr(0, right.find(' '));
                     });
    return sorted;
}

std::string RequestTrace::outcome() const
{
    const std::vector<std::string> sorted = lines();
    for (auto line = sorted.rbegin(); line != sorted.rend(); ++line) {
        for (const FinalEvent &finalEvent : finalEvents) {
            if (line->find(finalEvent.name) != std::string::npos) {
                return std::string(finalEvent.description);
            }
        }
    }
    return "No final event found: the daemon stopped before the request ended, or its log is "
           "missing.";
}

} // namespace citronpick::ctl
