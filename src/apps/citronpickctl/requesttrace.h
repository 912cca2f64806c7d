#ifndef CITRONPICK_CTL_REQUESTTRACE_H
#define CITRONPICK_CTL_REQUESTTRACE_H

#include <istream>
#include <string>
#include <vector>

namespace citronpick::ctl
{

//! Collects the lines of several daemons' logs that speak of one request.
class RequestTrace
{
public:
    explicit RequestTrace(std::string request);

    void read(std::istream &log);

    bool isEmpty() const
    {
        return m_lines.empty();
    }
    //! In order of their times; equal times keep the order in which they were read.
    std::vector<std::string> lines() const;
    //! One sentence on how the request ended, from its last event.
    std::string conclusion() const;

private:
    std::string m_request;
    std::vector<std::string> m_lines;
};

} // namespace citronpick::ctl

#endif // CITRONPICK_CTL_REQUESTTRACE_H
