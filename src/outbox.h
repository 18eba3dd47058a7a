// Effects that decisions ask for. A decision appends to an Outbox and performs nothing itself; the
// shell, or a test with virtual time, carries the effects out in order.

#pragma once

#include "messages.h"
#include "records.h"
#include "types.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cactuscove {

struct Send
{
    Incarnation to;
    Message message;
};

// The shell repeats an unclear append with the same append id until the log has it.
struct Append
{
    Record record;
};

// Names one waiting HTTP request of a caller at this entry.
using CallerId = StrongId<struct CallerIdTag>;

struct AnswerCaller
{
    CallerId caller;
    JobKey key;
    std::variant<Answer, SubmitRefusal, JobNotFound, JobAccepted> reply;
};

struct StartOnUpstream
{
    TaskRef ref;
    std::uint32_t attempt = 0;
    std::string payload;
    std::string taskId;
    std::string upstreamAddress;
    std::string upstreamIncarnation;
    Duration lease{};
    TraceContext trace;
};

struct StopOnUpstream
{
    TaskRef ref;
    std::string upstreamAddress;
};

enum class Severity { Info, Warning, Error };

struct LogEvent
{
    Severity severity = Severity::Info;
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
};

// A finished span of a hop that the decisions time themselves.
struct EmitSpan
{
    std::string name;
    TraceContext context;
    std::string parentSpanId;
    TimePoint start;
    TimePoint end;
    std::vector<std::pair<std::string, std::string>> attributes;
};

using Effect
    = std::variant<Send, Append, AnswerCaller, StartOnUpstream, StopOnUpstream, LogEvent, EmitSpan>;

class Outbox
{
public:
    template <typename E>
    void add(E effect)
    {
        m_effects.emplace_back(std::move(effect));
    }

    void send(Incarnation to, Message message) { add(Send{to, std::move(message)}); }

    std::vector<Effect> take() { return std::exchange(m_effects, {}); }
    bool isEmpty() const { return m_effects.empty(); }

private:
    std::vector<Effect> m_effects;
};

} // namespace cactuscove
