// Connects a decision object to the event loop. A decision object, such as JobDispatcher or
// TaskRunner, does no I/O and reads no clock: it turns inputs into effects, which a performer then
// carries out.

#pragma once

#include "bootclock.h"
#include "eventloop.h"

#include <functional>
#include <utility>
#include <variant>
#include <vector>

namespace cactuscove {

// `Effects` is a std::variant of the effects. `Decisions` has processPending(TimePoint, Outbox &),
// which acts on the inputs since the last call, and nextTimer(), the time by which processPending()
// must be called again. `Performer` has perform() for each type in `Effects`, and
// onPendingProcessed(TimePoint), which is called after each processPending().
template <typename Decisions, typename Effects, typename Performer>
class DecisionLoop
{
public:
    using Outbox = std::vector<Effects>;

    // All three must outlive this object.
    DecisionLoop(EventLoop &loop, Decisions &decisions, Performer &performer)
        : m_loop(loop)
        , m_decisions(decisions)
        , m_performer(performer)
        , m_timer(loop, [this] { processPending(); })
    {}

    // Passes an input to the decision object: calls `input(decisions, now, outbox)`, with the time
    // of bootNow(), and performs the effects that it added to the outbox. All inputs of one
    // iteration of the event loop are followed by one processPending().
    template <typename Input>
    void handleInput(Input input)
    {
        Outbox out;
        input(m_decisions, bootNow(), out);
        performAll(out);
        if (!std::exchange(m_isProcessingPosted, true))
            m_loop.post([this] { processPending(); });
    }

private:
    void processPending()
    {
        m_isProcessingPosted = false;
        Outbox out;
        const TimePoint now = bootNow();
        m_decisions.processPending(now, out);
        performAll(out);
        const TimePoint next = m_decisions.nextTimer();
        if (next == NeverTime)
            m_timer.stop();
        else
            m_timer.startIn(next - now);
        m_performer.onPendingProcessed(now);
    }

    void performAll(Outbox &out)
    {
        for (Effects &it : out)
            std::visit([this](auto &effect) { m_performer.perform(effect); }, it);
    }

    EventLoop &m_loop;
    Decisions &m_decisions;
    Performer &m_performer;
    Timer m_timer;                     // runs until nextTimer()
    bool m_isProcessingPosted = false; // processPending() is posted to the event loop
};

} // namespace cactuscove
