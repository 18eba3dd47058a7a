// Runs one decision object on the event loop: performs the effects of each input, and lets it
// decide once for all inputs of a turn and at its next timer.

#pragma once

#include "bootclock.h"
#include "eventloop.h"

#include <functional>
#include <utility>
#include <variant>
#include <vector>

namespace cactuscove {

// `Effects` is a variant. `Performer` has perform() for each of its types and onSettled(TimePoint).
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

    // `input` takes the decisions, the time and an outbox.
    template <typename Input>
    void step(Input input)
    {
        Outbox out;
        input(m_decisions, bootNow(), out);
        performAll(out);
        if (!std::exchange(m_isSettleDue, true))
            m_loop.post([this] { processPending(); });
    }

private:
    void processPending()
    {
        m_isSettleDue = false;
        Outbox out;
        const TimePoint now = bootNow();
        m_decisions.processPending(now, out);
        performAll(out);
        const TimePoint next = m_decisions.nextTimer();
        if (next == NeverTime)
            m_timer.stop();
        else
            m_timer.startIn(next - now);
        m_performer.onSettled(now);
    }

    void performAll(Outbox &out)
    {
        for (Effects &it : out)
            std::visit([this](auto &effect) { m_performer.perform(effect); }, it);
    }

    EventLoop &m_loop;
    Decisions &m_decisions;
    Performer &m_performer;
    Timer m_timer;
    bool m_isSettleDue = false;
};

} // namespace cactuscove
