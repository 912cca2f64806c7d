#ifndef CITRONPICK_MODEL_IDS_H
#define CITRONPICK_MODEL_IDS_H

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace citronpick::model
{

//! A name of one kind; names of different kinds do not mix.
template<typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string text)
        : m_text(std::move(text))
    {
    }

    const std::string &text() const
    {
        return m_text;
    }

    bool isEmpty() const
    {
        return m_text.empty();
    }

    friend auto operator<=>(const Name &, const Name &) = default;

    template<typename H>
    friend H AbslHashValue(H state, const Name &name)
    {
        return H::combine(std::move(state), name.m_text);
    }

private:
    std::string m_text;
};

//! A number of one kind; zero means "none".
template<typename Tag>
class Number
{
public:
    constexpr Number() = default;
    constexpr explicit Number(uint64_t value)
        : m_value(value)
    {
    }

    constexpr uint64_t value() const
    {
        return m_value;
    }

    friend constexpr auto operator<=>(const Number &, const Number &) = default;

    template<typename H>
    friend H AbslHashValue(H state, const Number &number)
    {
        return H::combine(std::move(state), number.m_value);
    }

private:
    uint64_t m_value = 0;
};

using PoolId = Name<struct PoolTag>;
using UpstreamId = Name<struct UpstreamTag>;
using RouteId = Name<struct RouteTag>;
using AccountId = Name<struct AccountTag>;
using ZoneId = Name<struct ZoneTag>;
using DaemonId = Name<struct DaemonTag>;
//! The caller's own name for its request; unique only as far as the caller makes it so.
using CallerRequestId = Name<struct CallerRequestTag>;

//! One arrival of a request at one daemon.
using RequestId = Number<struct RequestTag>;
//! One dispatch of one stage to one upstream.
using AttemptId = Number<struct AttemptTag>;
//! The platform's number of a configuration file; a higher one replaces a lower one.
using Revision = Number<struct RevisionTag>;
//! One run of a daemon process; a restart draws a new one.
using Incarnation = Number<struct IncarnationTag>;
//! Digest of a request's account, route and body.
using Fingerprint = Number<struct FingerprintTag>;

} // namespace citronpick::model

#endif // CITRONPICK_MODEL_IDS_H
