// The hash tables of forwarded job keys, compared with a plain map, and their size.

#include "entrymemory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace cactuscove {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{std::chrono::hours(1)};

// Guards against keys that are lost or that come back: a started job would then look new, or a new
// one known.
RC_GTEST_PROP(EntryMemory, BehavesLikeAMap, ())
{
    struct Known
    {
        Epoch epoch;
        TimePoint expiresAt;
    };
    EntryMemory memory;
    std::map<KeyHash, Known> model;
    TimePoint now = Start;
    const int steps = *rc::gen::inRange(0, 400);
    for (int i = 0; i < steps; ++i) {
        // Few shards and few first slots, so that keys collide and tables grow.
        const KeyHash key{std::uint64_t{*rc::gen::inRange<std::uint64_t>(0, 40)} << 58,
                          *rc::gen::inRange<std::uint64_t>(0, 3)};
        const Epoch epoch{*rc::gen::inRange<std::uint64_t>(1, 6)};
        std::erase_if(model, [&](const auto &it) { return it.second.expiresAt <= now; });
        const auto known = model.find(key);
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
            memory.forget(key);
            model.erase(key);
            break;
        case 1:
            now += std::chrono::seconds(*rc::gen::inRange(1, 20));
            break;
        case 2:
            for (int n = *rc::gen::inRange(0, 70); n > 0; --n)
                memory.sweep(now);
            break;
        case 3:
            if (known != model.end()) {
                memory.setLowestEpoch(key, epoch);
                known->second.epoch = epoch;
            }
            break;
        default: {
            const TimePoint expiresAt = now + std::chrono::seconds(*rc::gen::inRange(1, 60));
            RC_ASSERT(memory.remember(key, epoch, expiresAt, now) == (known == model.end()));
            Known &it = model.try_emplace(key, Known{epoch, expiresAt}).first->second;
            it = {std::min(it.epoch, epoch), std::max(it.expiresAt, expiresAt)};
        }
        }
        std::erase_if(model, [&](const auto &it) { return it.second.expiresAt <= now; });
        std::map<KeyHash, Epoch> visited;
        for (std::uint16_t shard = 0; shard < 3; ++shard)
            memory.visit({shard}, now,
                         [&](const KeyHash &it, Epoch e, TimePoint) { visited[it] = e; });
        RC_ASSERT(visited.size() == model.size());
        for (const auto &[it, expected] : model) {
            RC_ASSERT(visited[it] == expected.epoch);
            RC_ASSERT(memory.lowestEpoch(it, now) == expected.epoch);
        }
    }
}

// Guards against a representation that takes too much memory. The target is 2.5 million keys in
// about 100 MB, beside the rest of an entry in 256 MB.
TEST(EntryMemory, CostsAtMost40BytesPerKeyAtAnyCount)
{
    constexpr std::size_t keyCount = 2'500'000;
    EntryMemory memory;
    double worst = 0;
    for (std::size_t i = 0; i < keyCount; ++i) {
        memory.remember(hashOf({"team/job-" + std::to_string(i)}), {1}, Start + 660s, Start);
        if (i >= 100'000 && i % 50'000 == 0)
            worst = std::max(worst, static_cast<double>(memory.bytes())
                                        / static_cast<double>(memory.size()));
    }
    EXPECT_EQ(memory.size(), keyCount);
    EXPECT_LE(memory.bytes(), 100'000'000u);
    EXPECT_LE(worst, 40);
    RecordProperty("bytes", std::to_string(memory.bytes()));
    std::cout << "2.5 million keys: " << memory.bytes() << " bytes, worst " << worst
              << " bytes per key\n";
    for (int i = 0; i < 64; ++i)
        memory.sweep(Start + 661s);
    EXPECT_EQ(memory.size(), 0u);
    EXPECT_LE(memory.bytes(), sizeof(EntryMemory));
}

} // namespace
} // namespace cactuscove
