#ifndef CITRONPICK_SOAK_UNLIMITEDCALLERS_H
#define CITRONPICK_SOAK_UNLIMITEDCALLERS_H

#include <string>
#include <vector>

#include "config/settings.h"
#include "net/tests/rawpeer.h"

namespace citronpick::soak
{

//! Callers of one daemon that send bodies as fast as they are taken, stop short of their end and
//! stay. Those that are refused come again.
class UnlimitedCallers
{
public:
    UnlimitedCallers(config::Endpoint to, std::string host, uint32_t variant);

    void run();

private:
    struct Caller {
        net::testing::RawPeer peer;
        const std::string *text = nullptr;
        size_t sent = 0;
    };

    void connect(Caller &caller, size_t number);

    config::Endpoint m_to;
    std::vector<std::string> m_texts;
    std::vector<Caller> m_callers;
};

} // namespace citronpick::soak

#endif // CITRONPICK_SOAK_UNLIMITEDCALLERS_H
