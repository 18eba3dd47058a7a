// Wraps libev. No other source file of the product includes ev.h.

#include "eventloop.h"

#include <ev.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace cactuscove {

class EventLoop::Impl
{
public:
    Impl()
        : loop(ev_loop_new(EVFLAG_AUTO))
    {
        ev_prepare_init(&m_prepare, [](struct ev_loop *, ev_prepare *it, int) {
            static_cast<Impl *>(it->data)->onIterationEnd();
        });
        m_prepare.data = this;
        ev_prepare_start(loop, &m_prepare);
        ev_idle_init(&m_idle, [](struct ev_loop *, ev_idle *, int) {});
    }

    ~Impl()
    {
        ev_prepare_stop(loop, &m_prepare);
        ev_idle_stop(loop, &m_idle);
        for (auto &it : m_signals)
            ev_signal_stop(loop, &it->watcher);
        ev_loop_destroy(loop);
    }

    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void addSignal(int signal, std::function<void()> task)
    {
        auto it = std::make_unique<SignalWatcher>();
        it->task = std::move(task);
        ev_signal_init(
            &it->watcher,
            [](struct ev_loop *, ev_signal *w, int) {
                static_cast<SignalWatcher *>(w->data)->task();
            },
            signal);
        it->watcher.data = it.get();
        ev_signal_start(loop, &it->watcher);
        m_signals.push_back(std::move(it));
    }

    struct ev_loop *loop;
    std::vector<std::function<void()>> posted;
    std::vector<std::function<void()>> iterationEndTasks;

private:
    struct SignalWatcher
    {
        ev_signal watcher;
        std::function<void()> task;
    };

    void onIterationEnd()
    {
        for (auto &it : std::exchange(posted, {}))
            it();
        for (auto &it : iterationEndTasks)
            it();
        // A task may have posted another one. The idle watcher keeps libev from blocking before
        // that has run.
        if (posted.empty())
            ev_idle_stop(loop, &m_idle);
        else
            ev_idle_start(loop, &m_idle);
    }

    ev_prepare m_prepare;
    ev_idle m_idle;
    std::vector<std::unique_ptr<SignalWatcher>> m_signals;
};

EventLoop::EventLoop()
    : m_impl(std::make_unique<Impl>())
    , m_loop(m_impl->loop)
{}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    ev_run(m_loop, 0);
}

void EventLoop::stop()
{
    ev_break(m_loop, EVBREAK_ALL);
}

void EventLoop::post(std::function<void()> task)
{
    m_impl->posted.push_back(std::move(task));
}

void EventLoop::atIterationEnd(std::function<void()> task)
{
    m_impl->iterationEndTasks.push_back(std::move(task));
}

void EventLoop::onSignal(int signal, std::function<void()> task)
{
    m_impl->addSignal(signal, std::move(task));
}

TimePoint EventLoop::now() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

class Timer::Impl
{
public:
    Impl(EventLoop &owner, std::function<void()> onExpiry)
        : loop(owner)
        , task(std::move(onExpiry))
    {
        ev_timer_init(
            &watcher,
            [](struct ev_loop *, ev_timer *it, int) { static_cast<Impl *>(it->data)->task(); }, 0,
            0);
        watcher.data = this;
    }

    EventLoop &loop;
    std::function<void()> task;
    ev_timer watcher;
};

Timer::Timer(EventLoop &loop, std::function<void()> task)
    : m_impl(std::make_unique<Impl>(loop, std::move(task)))
{}

Timer::~Timer()
{
    stop();
}

void Timer::startAt(TimePoint at)
{
    if (at == NeverTime)
        stop();
    else
        startIn(at - m_impl->loop.now());
}

void Timer::startIn(Duration delay)
{
    stop();
    // libev counts the delay from its cached time, which is from the start of the iteration.
    ev_now_update(m_impl->loop.libevLoop());
    const double seconds = std::chrono::duration<double>(std::max(delay, Duration::zero())).count();
    ev_timer_set(&m_impl->watcher, seconds, 0);
    ev_timer_start(m_impl->loop.libevLoop(), &m_impl->watcher);
}

void Timer::stop()
{
    ev_timer_stop(m_impl->loop.libevLoop(), &m_impl->watcher);
}

class IoWatcher::Impl
{
public:
    Impl(EventLoop &owner, int fileDescriptor, std::function<void(int)> onEvent)
        : loop(owner)
        , fd(fileDescriptor)
        , task(std::move(onEvent))
    {
        ev_io_init(
            &watcher,
            [](struct ev_loop *, ev_io *it, int revents) {
                const int events = (revents & EV_READ ? Readable : None)
                                   | (revents & EV_WRITE ? Writable : None);
                // A copy, as the task may destroy the watcher.
                const auto run = static_cast<Impl *>(it->data)->task;
                run(events);
            },
            fd, 0);
        watcher.data = this;
    }

    EventLoop &loop;
    int fd;
    std::function<void(int)> task;
    ev_io watcher;
};

IoWatcher::IoWatcher(EventLoop &loop, int fd, std::function<void(int)> task)
    : m_impl(std::make_unique<Impl>(loop, fd, std::move(task)))
{}

IoWatcher::~IoWatcher()
{
    watch(None);
}

void IoWatcher::watch(int events)
{
    ev_io_stop(m_impl->loop.libevLoop(), &m_impl->watcher);
    if (events == None)
        return;
    const int flags = (events & Readable ? EV_READ : 0) | (events & Writable ? EV_WRITE : 0);
    ev_io_set(&m_impl->watcher, m_impl->fd, flags);
    ev_io_start(m_impl->loop.libevLoop(), &m_impl->watcher);
}

} // namespace cactuscove
