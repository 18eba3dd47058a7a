// Structured log lines on standard output that never block the process: each kind of event has a
// budget for each second, and lines wait in a bounded buffer while the reader is slow. What was
// left out is counted and told in a line of its own.

#pragma once

#include "eventloop.h"
#include "outbox.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cactuscove {

struct EventLogLimits
{
    unsigned linesPerSecond = 200; // of one kind of event
    std::size_t bufferBytes = 256 << 10;
};

class EventLog
{
public:
    // `role` and `instance` appear in every line. Writes to `fd`, which it does not own.
    EventLog(EventLoop &loop, std::string_view role, std::string_view instance, int fd,
             EventLogLimits limits = {});

    void write(const LogEvent &event);
    // Writes as much as the reader takes at once.
    void flush();

    std::uint64_t leftOut() const { return m_leftOut; }

private:
    struct Budget
    {
        std::int64_t second = 0;
        unsigned lines = 0;
        std::uint64_t leftOut = 0;
    };

    void append(const LogEvent &event);

    EventLoop &m_loop;
    std::string m_common;
    int m_fd;
    EventLogLimits m_limits;
    std::map<std::string, Budget, std::less<>> m_budgets;
    std::string m_buffer;
    std::uint64_t m_leftOut = 0;
    bool m_isFlushPosted = false;
};

} // namespace cactuscove
