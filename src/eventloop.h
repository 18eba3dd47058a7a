// The event loop of a process (libev) with timers, socket watchers and signals.

#pragma once

#include "types.h"

#include <functional>
#include <memory>

struct ev_loop;

namespace cactuscove {

class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    void run();  // until stop()
    void stop(); // from a callback; run() returns after the current turn

    // Runs `task` in the next turn of the loop.
    void post(std::function<void()> task);
    // Runs `task` once at the end of each turn, before the loop waits for events.
    void atIterationEnd(std::function<void()> task);
    void onSignal(int signal, std::function<void()> task);

    TimePoint now() const; // steady clock, read anew at each call
    struct ev_loop *handle() const { return m_loop; }

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
    struct ev_loop *m_loop; // owned by m_impl
};

// A one-shot timer that can be set again.
class Timer
{
public:
    Timer(EventLoop &loop, std::function<void()> task);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    void startAt(TimePoint at); // replaces an earlier setting; NeverTime stops the timer
    void startIn(Duration delay);
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

// Watches one file descriptor that it does not own.
class IoWatcher
{
public:
    enum Events { None = 0, Readable = 1, Writable = 2 };

    IoWatcher(EventLoop &loop, int fd, std::function<void(int events)> task);
    ~IoWatcher();
    IoWatcher(const IoWatcher &) = delete;
    IoWatcher &operator=(const IoWatcher &) = delete;

    void watch(int events); // a set of Events; None stops watching

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cactuscove
