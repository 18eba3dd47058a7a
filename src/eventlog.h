// Log of the processes dispatch-entry and dispatch-agent: one line of key=value pairs per event. It
// never blocks the process: the number of lines per second of each kind of event is limited, and
// lines wait in a bounded buffer while the reader is slow. Dropped lines are counted and reported
// by an event of their own, events_left_out.

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
    unsigned linesPerSecond = 200;       // of one kind of event, which is LogEvent::name
    std::size_t bufferBytes = 256 << 10; // lines are dropped while more bytes are not written yet
};

class EventLog
{
public:
    // `role` and `instance` appear in every line. `fd` is the descriptor to write to, such as
    // standard output; the log does not close it.
    EventLog(EventLoop &loop, std::string_view role, std::string_view instance, int fd,
             EventLogLimits limits = {});

    // Adds a line to the buffer, which is written in the next iteration of the event loop. Drops
    // the event if its kind is over its limit or the buffer is full.
    void write(const LogEvent &event);
    // Writes as much of the buffer as the reader takes without blocking. The rest is kept until the
    // next line or call.
    void flush();

    std::uint64_t droppedEvents() const { return m_droppedEvents; } // events dropped so far

private:
    // Events of one kind in the current second.
    struct EventCount
    {
        std::int64_t second = 0;         // of the steady clock
        unsigned lines = 0;              // dropped ones included
        std::uint64_t droppedEvents = 0; // reported with the first event of a later second
    };

    void append(const LogEvent &event);

    EventLoop &m_loop;
    std::string m_commonFields; // fields of every line
    int m_fd;
    EventLogLimits m_limits;
    std::map<std::string, EventCount, std::less<>> m_eventCounts; // by kind of event
    std::string m_buffer;                                         // lines not yet written
    std::uint64_t m_droppedEvents = 0;
    bool m_isFlushPosted = false;
};

} // namespace cactuscove
