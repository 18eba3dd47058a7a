// A log in memory and helpers for tests of JobRouter, Membership and EntryNode.

#pragma once

#include "entrynode.h"
#include "jobrouter.h"
#include "ledger.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cactuscove::entrytest {

using namespace std::chrono_literals;

inline constexpr TimePoint Start{std::chrono::hours(1)};

// The records that the log service would hold, in offset order.
class TestLog
{
public:
    // Without an `id` the record gets one of its own.
    const LogRecord &append(RecordBody body, std::string id = {})
    {
        const LogOffset offset{m_records.size()};
        if (id.empty())
            id = "test-" + std::to_string(offset.value);
        m_records.push_back({offset, {std::move(id), std::move(body)}});
        return m_records.back();
    }
    const std::vector<LogRecord> &records() const { return m_records; }
    // The records at `offset` and later.
    std::span<const LogRecord> from(LogOffset offset) const
    {
        return std::span(m_records).subspan(std::min<std::size_t>(offset.value, m_records.size()));
    }

private:
    std::vector<LogRecord> m_records;
};

inline Member member(std::uint64_t incarnation, Role role)
{
    return {{incarnation}, role, "127.0.0.1:" + std::to_string(1000 + incarnation), "a", "r", "o"};
}

// A job of one task, under the key "team/" + id.
inline JobSpec job(const std::string &id, const std::string &content = "x")
{
    JobSpec spec;
    spec.key = {"team/" + id};
    spec.team = "team";
    spec.jobClass = "normal";
    spec.upstream = "desk";
    spec.deadline = 30s;
    spec.contentHash = std::hash<std::string>{}(content);
    spec.tasks = {TaskSpec{"t0", content, 100ms, {}}};
    return spec;
}

// The completed answer to such a job.
inline Answer completed(const std::string &body = "done")
{
    return {Outcome::Completed, "", std::nullopt, {{"t0", 200, body}}};
}

// The effects of one kind.
template <typename T>
std::vector<T> allOf(const std::vector<Effect> &effects)
{
    std::vector<T> result;
    for (const Effect &effect : effects)
        if (const auto *it = std::get_if<T>(&effect))
            result.push_back(*it);
    return result;
}

// The messages of one kind that are sent, with their receivers.
template <typename T>
std::vector<std::pair<Incarnation, T>> sentOf(const std::vector<Effect> &effects)
{
    std::vector<std::pair<Incarnation, T>> result;
    for (const Send &send : allOf<Send>(effects))
        if (const auto *it = std::get_if<T>(&send.message))
            result.emplace_back(send.to, *it);
    return result;
}

// The records of one kind that are appended.
template <typename T>
std::vector<T> appendsOf(const std::vector<Effect> &effects)
{
    std::vector<T> result;
    for (const Append &append : allOf<Append>(effects))
        if (const auto *it = std::get_if<T>(&append.record.body))
            result.push_back(*it);
    return result;
}

} // namespace cactuscove::entrytest
