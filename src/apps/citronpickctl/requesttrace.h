#ifndef CITRONPICK_CTL_REQUESTTRACE_H
#define CITRONPICK_CTL_REQUESTTRACE_H

#include <istream>
#include <string>
#include <vector>

namespace citronpick::ctl
{

//! Collects the lines about one request from the logs of several daemons.
class RequestTrace
{
public:
    explicit RequestTrace(std::string request);

    //! Adds the lines of \a log about the request.
    void addLog(std::istream &log);

    bool isEmpty() const
    {
        return m_lines.empty();
    }
    //! The collected lines, ordered by time. Lines with equal times keep the order of reading.
    std::vector<std::string> lines() const;
    //! Describes in one sentence how the request ended, according to the latest final event.
    std::string outcome() const;

private:
    std::string m_requestField;
    std::vector<std::string> m_lines;
};

} // namespace citronpick::ctl

#endif // CITRONPICK_CTL_REQUESTTRACE_H
