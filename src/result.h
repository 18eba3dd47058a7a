// The return type of functions that can fail without an exception: either a value or an error. The
// error type belongs to the module that declares the function.

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

// The value. Throws std::bad_variant_access if the result is an error.
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

// The error. Throws std::bad_variant_access if the result is a value.
template <typename T, typename E>
const E &errorOf(const std::variant<T, E> &result)
{
    return std::get<1>(result);
}

} // namespace cactuscove
