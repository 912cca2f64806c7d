#ifndef CITRONPICK_MODEL_IDS_H
#define CITRONPICK_MODEL_IDS_H

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace citronpick::model
{

//! Strongly typed name: names with different tags cannot be assigned or compared.
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

//! Strongly typed number: numbers with different tags cannot be assigned or compared. Zero means
//! "none".
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
//! Request identifier chosen by the caller; its uniqueness depends on the caller.
using CallerRequestId = Name<struct CallerRequestTag>;
//! Version of the software that an upstream runs.
using SoftwareVersion = Name<struct SoftwareVersionTag>;

//! Identifies one arrival of a request at one daemon; a resent request gets a new number.
using RequestId = Number<struct RequestTag>;
//! Identifies one dispatch of a stage to an upstream.
using AttemptId = Number<struct AttemptTag>;
//! Revision number that the platform assigns to a configuration file; a higher one supersedes a
//! lower one.
using Revision = Number<struct RevisionTag>;
//! Identifies one run of a daemon process; every restart gets a new value.
using Incarnation = Number<struct IncarnationTag>;
//! Hash of a request's account, route and body.
using Fingerprint = Number<struct FingerprintTag>;

} // namespace citronpick::model

#endif // CITRONPICK_MODEL_IDS_H
