#ifndef CITRONPICK_MODEL_BODY_H
#define CITRONPICK_MODEL_BODY_H

#include <memory>
#include <string>

namespace citronpick::model
{

//! Immutable message body with shared ownership.
using BodyPtr = std::shared_ptr<const std::string>;

inline BodyPtr makeBody(std::string bytes)
{
    return std::make_shared<const std::string>(std::move(bytes));
}

} // namespace citronpick::model

#endif // CITRONPICK_MODEL_BODY_H
