// Entry side of a job: remembers forwarded keys (rule R3), forwards to the home of the shard,
// repeats until answered, and hands the answer to every caller that waits for the key.

#pragma once

#include "ledger.h"
#include "messages.h"
#include "outbox.h"
#include "types.h"

#include <array>
#include <string>
#include <unordered_map>
#include <vector>

namespace cactuscove {

class JobRouter
{
public:
    JobRouter(Incarnation self, const Ledger &ledger);

    // Commands
    // `waitUntil`: the caller gets JobAccepted if there is no answer by then.
    void submit(CallerId caller, JobSpec spec, TraceContext trace, TimePoint waitUntil,
                TimePoint now, Outbox &out);
    void query(CallerId caller, const JobKey &key, TimePoint waitUntil, TimePoint now, Outbox &out);
    void cancel(CallerId caller, const JobKey &key, TimePoint waitUntil, TimePoint now,
                Outbox &out);
    void callerGone(CallerId caller); // the job itself goes on
    void onMessage(Incarnation from, const Message &message, TimePoint now, Outbox &out);
    void onUndelivered(Incarnation to, const Message &message, TimePoint now, Outbox &out);
    void onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out);
    void onTimer(TimePoint now, Outbox &out);

    // Queries
    TimePoint nextTimer() const;
    bool isIdle() const; // no caller waits
    std::size_t rememberedKeys() const;
    std::vector<AdoptedJob> memory(TimePoint now) const;
};

} // namespace cactuscove
