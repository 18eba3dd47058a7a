// A value or an error of the layer that returns it.

#pragma once

#include <utility>
#include <variant>

namespace cactuscove {

template <typename T, typename E>
using Result = std::variant<T, E>;

template <typename T, typename E>
bool isOk(const std::variant<T, E> &result)
{
    return result.index() == 0;
}

template <typename T, typename E>
T &valueOf(std::variant<T, E> &result)
{
    return std::get<0>(result);
}

template <typename T, typename E>
const T &valueOf(const std::variant<T, E> &result)
{
    return std::get<0>(result);
}

template <typename T, typename E>
const E &errorOf(const std::variant<T, E> &result)
{
    return std::get<1>(result);
}

} // namespace cactuscove
