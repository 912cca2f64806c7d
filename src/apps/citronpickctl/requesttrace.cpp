#include "requesttrace.h"

#include <algorithm>
#include <array>

namespace citronpick::ctl
{

namespace
{

struct Ending {
    std::string_view event;
    std::string_view sentence;
};

constexpr std::array endings
    = {Ending {" answer-passed ", "An upstream answered and the answer was passed on whole."},
       Ending {" answer-broken ", "The answer had begun and could not be completed."},
       Ending {" exchange-refused ", "The daemon answered itself, for the reason given as 'why'."},
       Ending {" exchange-abandoned ", "The caller left before the answer was complete."}};

} // namespace

RequestTrace::RequestTrace(std::string request)
    : m_request("request=" + std::move(request))
{
}

void RequestTrace::read(std::istream &log)
{
    for (std::string line; std::getline(log, line);) {
        const size_t at = line.find(m_request);
        const size_t end = at + m_request.size();
        const bool isOfRequest
            = at != std::string::npos && (end == line.size() || line[end] == ' ');
        if (isOfRequest) {
            m_lines.push_back(std::move(line));
        }
    }
}

// A line begins with its time, written so that the order of text is the order of time.
std::vector<std::string> RequestTrace::lines() const
{
    std::vector<std::string> sorted = m_lines;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const std::string &left, const std::string &right) {
                         return left.substr(0, left.find(' ')) < right.substr(0, right.find(' '));
                     });
    return sorted;
}

std::string RequestTrace::conclusion() const
{
    const std::vector<std::string> sorted = lines();
    for (auto line = sorted.rbegin(); line != sorted.rend(); ++line) {
        for (const Ending &ending : endings) {
            if (line->find(ending.event) != std::string::npos) {
                return std::string(ending.sentence);
            }
        }
    }
    return "No line tells how it ended: the daemon was stopped before, or its log is not here.";
}

} // namespace citronpick::ctl
