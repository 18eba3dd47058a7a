// The event loop of a process, based on libev, with its timers, socket watchers and signal
// handlers. Nothing here is thread-safe. Callbacks run in the thread that calls EventLoop::run().

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

    // Processes events until stop() is called.
    void run();
    // Called from a callback: run() returns after the current iteration.
    void stop();

    // Runs `task` once in the next iteration of the loop, before it waits for events.
    void post(std::function<void()> task);
    // Runs `task` in every iteration of the loop, after the posted tasks and before it waits for
    // events. Suits work that is collected during an iteration, such as writes to sockets.
    void atIterationEnd(std::function<void()> task);
    // Runs `task` from the loop each time that `signal`, such as SIGTERM, arrives.
    void onSignal(int signal, std::function<void()> task);

    // Returns the time of the steady clock, read at each call and not cached by the loop.
    TimePoint now() const;
    struct ev_loop *libevLoop() const { return m_loop; } // for Timer and IoWatcher

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
    struct ev_loop *m_loop; // owned by m_impl
};

// A one-shot timer that can be started again, also by its own task. Must not outlive its loop, and
// must not be destroyed by its own task.
class Timer
{
public:
    // `task` runs each time that the timer expires. The timer is not started.
    Timer(EventLoop &loop, std::function<void()> task);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    // Starts the timer, or restarts it if it is running. `at` is a time of EventLoop::now();
    // NeverTime stops the timer.
    void startAt(TimePoint at);
    // Starts or restarts the timer. A negative delay counts as zero.
    void startIn(Duration delay);
    void stop(); // does nothing if the timer is not running

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

// Waits until a file descriptor is readable or writable. Does not own the descriptor, which must
// stay open while it is watched.
class IoWatcher
{
public:
    enum Events { None = 0, Readable = 1, Writable = 2 };

    // `task` runs while one of the watched events is present; `events` is the set of those present.
    // It may destroy the watcher. Nothing is watched before watch().
    IoWatcher(EventLoop &loop, int fd, std::function<void(int events)> task);
    ~IoWatcher();
    IoWatcher(const IoWatcher &) = delete;
    IoWatcher &operator=(const IoWatcher &) = delete;

    // Replaces the set of watched Events; None stops watching.
    void watch(int events);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cactuscove
