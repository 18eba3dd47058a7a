// Effects that the decision code asks for. It performs no input or output itself: it adds effects
// to an Outbox, and the process around it, or a test in virtual time, carries them out in order.

#pragma once

#include "messages.h"
#include "records.h"
#include "types.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cactuscove {

// Sends a message to another process, or to the sender itself. Delivery is not guaranteed.
struct Send
{
    Incarnation to;
    Message message;
};

// Appends a record to the log. The process that carries this out repeats an append whose result is
// unclear with the same append id until the log has the record.
struct Append
{
    Record record;
};

// The record need not be appended any more. It may have taken effect already, or may yet.
struct WithdrawAppend
{
    std::string appendId;
};

// Identifies one waiting HTTP request of a caller at this entry.
using CallerId = StrongId<struct CallerIdTag>;

// Replies to the request `caller`, which is then over.
struct AnswerCaller
{
    CallerId caller;
    JobKey key;
    std::variant<Answer, SubmitRefusal, JobNotFound, JobAccepted> reply;
};

// Starts one attempt of a task on the upstream instance beside this agent. Exactly one result
// follows.
struct StartOnUpstream
{
    TaskRef ref;
    std::uint32_t attempt = 0;
    std::string payload;             // TaskSpec::payload
    std::string taskId;              // TaskSpec::id
    std::string upstreamAddress;     // "ip:port"
    std::string upstreamIncarnation; // another instance at that address must refuse the start
    Duration lease{};                // the upstream stops the task once it has run this long
    TraceContext trace;
};

// Asks the upstream to stop a running task.
struct StopOnUpstream
{
    TaskRef ref;
    std::string upstreamAddress;
};

enum class Severity { Info, Warning, Error };

// Names and values of a log event, in the order in which they are written.
using LogFields = std::vector<std::pair<std::string, std::string>>;

// Writes one line to the process's own log of events.
struct LogEvent
{
    Severity severity = Severity::Info;
    std::string name; // for example "claim_shards"
    LogFields fields;
};

// Exports a finished trace span of a step that the decision code measured itself.
struct EmitSpan
{
    std::string name;
    TraceContext context;
    std::string parentSpanId;
    TimePoint start;
    TimePoint end;
    std::vector<std::pair<std::string, std::string>> attributes;
};

using Effect = std::variant<Send, Append, WithdrawAppend, AnswerCaller, StartOnUpstream,
                            StopOnUpstream, LogEvent, EmitSpan>;

// Collects the effects of one input to the decision code, in order.
class Outbox
{
public:
    // `effect` is of one of the alternative types of Effect.
    template <typename E>
    void add(E effect)
    {
        m_effects.emplace_back(std::move(effect));
    }

    void send(Incarnation to, Message message) { add(Send{to, std::move(message)}); }

    std::vector<Effect> take() { return std::exchange(m_effects, {}); } // empties the outbox
    bool isEmpty() const { return m_effects.empty(); }

private:
    std::vector<Effect> m_effects;
};

} // namespace cactuscove
