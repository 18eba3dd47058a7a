// The descriptor may be a blocking one, so poll() is asked before each write.

#include "eventlog.h"

#include "logging.h"

#include <poll.h>
#include <unistd.h>

#include <climits>
#include <cstdio>
#include <ctime>

namespace cactuscove {

namespace {

// Returns the current UTC time in ISO 8601 with milliseconds.
std::string timeStamp()
{
    timespec ts{};
    clock_gettime(CLOCK_REALTIME, &ts);
    tm utc{};
    gmtime_r(&ts.tv_sec, &utc);
    char buf[40];
    const int n = std::snprintf(buf, sizeof buf, "%04d-%02d-%02dT%02d:%02d:%02d.%03ldZ",
                                utc.tm_year + 1900, utc.tm_mon + 1, utc.tm_mday, utc.tm_hour,
                                utc.tm_min, utc.tm_sec, ts.tv_nsec / 1'000'000);
    return {buf, static_cast<std::size_t>(n)};
}

std::string_view nameOf(Severity severity)
{
    switch (severity) {
    case Severity::Info:
        return "INFO";
    case Severity::Warning:
        return "WARNING";
    case Severity::Error:
        return "ERROR";
    }
    return "?";
}

} // namespace

EventLog::EventLog(EventLoop &loop, std::string_view role, std::string_view instance, int fd,
                   EventLogLimits limits)
    : m_loop(loop)
    , m_commonFields(' ' + formatField("role", role) + ' ' + formatField("instance", instance))
    , m_fd(fd)
    , m_limits(limits)
{}

void EventLog::write(const LogEvent &event)
{
    const std::int64_t second
        = std::chrono::duration_cast<std::chrono::seconds>(m_loop.now().time_since_epoch()).count();
    auto it = m_eventCounts.find(event.name);
    if (it == m_eventCounts.end())
        it = m_eventCounts.emplace(event.name, EventCount()).first;
    EventCount &count = it->second;
    if (count.second != second) {
        if (count.droppedEvents > 0)
            append({Severity::Warning,
                    "events_left_out",
                    {{"kind", event.name}, {"count", std::to_string(count.droppedEvents)}}});
        count = {second, 0, 0};
    }
    if (++count.lines > m_limits.linesPerSecond || m_buffer.size() > m_limits.bufferBytes) {
        ++count.droppedEvents;
        ++m_droppedEvents;
        return;
    }
    append(event);
    if (!m_isFlushPosted) {
        m_isFlushPosted = true;
        m_loop.post([this] {
            m_isFlushPosted = false;
            flush();
        });
    }
}

void EventLog::append(const LogEvent &event)
{
    m_buffer += "time=";
    m_buffer += timeStamp();
    m_buffer += " level=";
    m_buffer += nameOf(event.severity);
    m_buffer += ' ';
    m_buffer += formatField("event", event.name);
    m_buffer += m_commonFields;
    for (const auto &[name, value] : event.fields) {
        m_buffer += ' ';
        m_buffer += formatField(name, value);
    }
    m_buffer += '\n';
}

void EventLog::flush()
{
    while (!m_buffer.empty()) {
        pollfd it{m_fd, POLLOUT, 0};
        if (poll(&it, 1, 0) != 1 || !(it.revents & POLLOUT))
            return; // retried with the next line
        // A pipe that is ready for output takes this many bytes without blocking.
        const ssize_t n
            = ::write(m_fd, m_buffer.data(), std::min<std::size_t>(m_buffer.size(), PIPE_BUF));
        if (n <= 0)
            return;
        m_buffer.erase(0, static_cast<std::size_t>(n));
    }
}

} // namespace cactuscove
