// State of an agent node. Included only by agentnode.cpp and agenthandover.cpp.

#pragma once

#include "agentnode.h"
#include "jobhome.h"
#include "placement.h"
#include "shardownership.h"
#include "taskexecutor.h"
#include "workerhealth.h"

#include <deque>
#include <map>
#include <set>

namespace cactuscove {

class AgentNode::Impl
{
public:
    explicit Impl(NodeSettings settings)
        : m_settings(std::move(settings))
        , m_self(m_settings.self.incarnation)
        , m_executor(m_self, m_ledger, m_upstreams)
        , m_shards(m_self, m_ledger)
        , m_admission(m_settings.seed + 1)
        , m_placement(m_settings.self.dataCentre, m_settings.seed + 2)
        , m_jobs(m_self, {m_ledger, m_shards, m_admission, m_placement, m_health},
                 m_settings.seed + 3)
    {
        m_shards.setJobs(&m_jobs);
    }

    void start(TimePoint now, Outbox &out);
    void onEnvelope(const Envelope &envelope, TimePoint now, Outbox &out);
    void onLogRecords(std::span<const LogRecord> records, TimePoint now, Outbox &out);
    void onLogSnapshot(const SnapshotRecord &snapshot, TimePoint now, Outbox &out);
    void onUpstreamChange(UpstreamRegistry::Change change, TimePoint now, Outbox &out);
    void onTimer(TimePoint now, Outbox &out);
    void beginShutdown(TimePoint now, Outbox &out);
    // Called after each event with its effects in `inner`. Delivers the messages of the node to
    // itself, decides on waiting jobs, places queued tasks and advances the shutdown until nothing
    // changes any more, and moves all other effects to `out`.
    void processFollowUps(Outbox &inner, TimePoint now, Outbox &out);

    TimePoint nextTimer() const;
    bool isActive() const { return m_ledger.member(m_self) != nullptr; }
    bool shouldReadLog(TimePoint now) const;
    std::vector<LoadReport> loads() const;

    TaskExecutor &executor() { return m_executor; }
    JobHome &jobs() { return m_jobs; }
    UpstreamRegistry &upstreams() { return m_upstreams; }
    const Ledger &ledger() const { return m_ledger; }
    bool isShutdownComplete() const { return m_stage == Stage::Left; }

private:
    enum class Stage {
        Serving,
        Draining,    // finishes running tasks and transfers its shards
        HandingOver, // hands its records to the successor
        Leaving,     // waits until the ledger shows its LeaveRecord
        Left
    };

    // The records of a process that has left or is about to leave.
    struct AdoptedRecords
    {
        std::map<std::uint32_t, std::vector<AdoptedJob>> parts; // by part number
        TimePoint receivedAt;                                   // of the newest part
    };

    void dispatch(Incarnation from, const Message &message, TimePoint now, Outbox &out);
    void onFeed(Incarnation from, const Feed &feed, TimePoint now, Outbox &out);
    void applyRecords(std::span<const LogRecord> records, LedgerChanges &changes);
    bool applySnapshot(const SnapshotRecord &snapshot, LedgerChanges &changes);
    void onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out);
    void importReceivedShards(TimePoint now);
    void answerStartEpoch(Incarnation from, const StartEpoch &message, TimePoint now,
                          Outbox &out) const;
    void onAdoptAck(Incarnation from, const AdoptAck &ack, TimePoint now, Outbox &out);
    void onAdoptWitness(Incarnation from, const AdoptWitness &message, TimePoint now, Outbox &out);
    void appendRegistration(Outbox &out);
    void checkRegistration(Outbox &out);
    void advanceShutdown(TimePoint now, Outbox &out);
    void startHandover(TimePoint now, Outbox &out);
    void addParts(Incarnation subject, std::vector<AdoptedJob> jobs);
    void sendParts(TimePoint now, Outbox &out);
    bool answersFor(Incarnation subject) const;
    void expireAdopted(TimePoint now);

    NodeSettings m_settings;
    Incarnation m_self;
    Ledger m_ledger;
    UpstreamRegistry m_upstreams;
    TaskExecutor m_executor;
    ShardOwnership m_shards;
    Admission m_admission;
    Placement m_placement;
    WorkerHealth m_health;
    JobHome m_jobs;
    std::map<Incarnation, AdoptedRecords> m_adopted; // by the process that left

    TimePoint m_startedAt = NeverTime;
    std::optional<TimePoint> m_lastFeed;
    TimePoint m_logContact{};     // the ledger holds every record that the log held at this time
    std::string m_registrationId; // append id of the newest registration
    std::uint32_t m_registrationCount = 0;

    Stage m_stage = Stage::Serving;
    Incarnation m_successor;                        // 0 if there is none
    std::set<Incarnation> m_unresponsiveSuccessors; // did not acknowledge in time
    std::deque<AdoptWitness>
        m_unacknowledgedParts;    // parts that the successor has not acknowledged yet
    std::uint32_t m_lastPart = 0; // part numbers are not reused, not even for another successor
    TimePoint m_successorDeadline = NeverTime; // when another successor is chosen
    TimePoint m_nextPartsSend = NeverTime;     // when unacknowledged parts are sent again
    // When the handover ends even if it is not complete. Set when the last task and job have ended.
    TimePoint m_handoverDeadline = NeverTime;
};

} // namespace cactuscove
