#ifndef CITRONPICK_MODEL_OVERLOADED_H
#define CITRONPICK_MODEL_OVERLOADED_H

namespace citronpick::model
{

//! Combines lambdas into one visitor for std::visit.
template<class... Visitors>
struct Overloaded : Visitors... {
    using Visitors::operator()...;
};

template<class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace citronpick::model

#endif // CITRONPICK_MODEL_OVERLOADED_H
