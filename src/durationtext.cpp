// The units are h, m, s, ms and us.

#include "durationtext.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <limits>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

struct DurationUnit
{
    std::string_view suffix;
    Duration length;
};

// Longest first: formatDuration() takes the first unit that divides the value.
constexpr DurationUnit DurationUnits[]
    = {{"h", 1h}, {"m", 1min}, {"s", 1s}, {"ms", 1ms}, {"us", 1us}};

} // namespace

std::string formatDuration(Duration value)
{
    for (const DurationUnit &unit : DurationUnits) {
        if (value.count() != 0 && value % unit.length == Duration::zero())
            return std::to_string(value / unit.length) + std::string(unit.suffix);
    }
    return "0s";
}

bool parseDuration(std::string_view text, Duration &value)
{
    std::int64_t count = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (ec != std::errc() || count < 0)
        return false;
    const std::string_view suffix = text.substr(static_cast<std::size_t>(end - text.data()));
    const auto it = std::find_if(std::begin(DurationUnits), std::end(DurationUnits),
                                 [suffix](const auto &unit) { return unit.suffix == suffix; });
    if (it == std::end(DurationUnits)
        || count > std::numeric_limits<std::int64_t>::max() / it->length.count())
        return false;
    value = count * it->length;
    return true;
}

} // namespace cactuscove
