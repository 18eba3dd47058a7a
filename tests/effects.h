// Picks effects of one type from the outbox of a decision object.

#pragma once

#include <variant>
#include <vector>

namespace cactuscove {

// The effects of this type, in order.
template <typename T, typename Effects>
std::vector<T> effectsOf(const std::vector<Effects> &out)
{
    std::vector<T> found;
    for (const Effects &it : out)
        if (const auto *effect = std::get_if<T>(&it))
            found.push_back(*effect);
    return found;
}

} // namespace cactuscove
