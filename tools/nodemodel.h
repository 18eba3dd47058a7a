// Real agent nodes in virtual time, for the measuring program measure.cpp. The entry, the log, the
// network and the upstreams around them are modelled.

#pragma once

#include "agentnode.h"
#include "fleetmodel.h"

#include <set>
#include <unordered_map>

namespace cactuscove::measure {

// AgentNode objects with one upstream each, and one entry. All times of type double are seconds of
// virtual time.
class NodeFleet
{
public:
    NodeFleet(const Options &options, Workload workload)
        : m_options(options)
        , m_workload(std::move(workload))
        , m_result{std::vector<JobEnd>(m_workload.jobs.size()), {}, {}, 0, 0}
    {}

    // Starts the agents, runs the workload until every job has ended; called once.
    RunResult run()
    {
        appendRecord({"entry", RegisterRecord{{Entry, Role::Entry, "", "dc0", "", ""}}});
        appendRecord({"config", ConfigRecord{{}, configText(), "", ""}});
        for (std::size_t i = 0; i < m_options.workers; ++i) {
            const Member self{agentOf(i), Role::Agent, "", centreOf(i), "", ""};
            m_nodes.push_back(std::make_unique<Node>(NodeSettings{self, m_options.seed + 7 * i}));
        }
        for (std::size_t i = 0; i < m_options.workers; ++i) {
            runCommand(i, [](AgentNode &it, TimePoint now, Outbox &out) { it.start(now, out); });
            announceUpstream(i);
        }
        sendFeedToAll();
        m_openJobs = m_workload.jobs.size();
        for (std::size_t i = 0; i < m_workload.jobs.size(); ++i)
            m_clock.after(SettleTime + m_workload.jobs[i].arrival, [this, i] { submit(i); });
        m_clock.run([this] { return m_openJobs == 0; });
        // A start request is useful if it was accepted or answers a slot offer. A busy answer and
        // an offer are useful if a start followed from the offer.
        const auto excess
            = [](std::uint64_t n, std::uint64_t useful) { return n > useful ? n - useful : 0; };
        m_result.wastedMessages += excess(m_startTasks, m_accepted + m_offerReplies)
                                   + excess(m_busy, m_offerReplies)
                                   + excess(m_offers, m_offerReplies);
        return std::move(m_result);
    }

private:
    struct Node
    {
        explicit Node(NodeSettings settings)
            : agent(std::move(settings))
        {}
        AgentNode agent;
        double timerAt = HUGE_VAL; // time of its scheduled onTimer() call
        std::size_t records = 0;   // of the log that it was sent
    };

    static constexpr Incarnation Entry{1000};
    static constexpr double SettleTime
        = 10; // seconds until every shard has a home; jobs come later
    static constexpr double LogDelay = 0.005; // seconds from a request to append to its effect

    static Incarnation agentOf(std::size_t i) { return Incarnation{i + 1}; }

    std::string centreOf(std::size_t i) const
    {
        return "dc" + std::to_string(i % m_options.dataCentres);
    }

    // The configuration of fleetConfig() as text of a configuration file.
    std::string configText() const
    {
        const auto target = [this](double seconds) {
            const double scale
                = m_options.queueTargetScale > 0 ? m_options.queueTargetScale : 60; // no refusals
            return std::to_string(static_cast<int>(std::min(600.0, seconds * scale))) + "s";
        };
        return "version: 1\nclasses:\n  urgent: {share: 3, queue_target: " + target(2)
               + "}\n  normal: {share: 5, queue_target: " + target(5)
               + "}\n  bulk: {share: 2, queue_target: " + target(10)
               + "}\nteams:\n"
                 "  bookings: {office: hollisdale, weight: 1, upstreams: [walk-desk]}\n"
                 "  billing: {office: hollisdale, weight: 1, upstreams: [walk-desk]}\n"
                 "  flooder: {office: hollisdale, weight: 0.25, upstreams: [walk-desk]}\n"
                 "upstreams:\n  walk-desk: {}\n";
    }

    // Appends to the log, unless a record with the same append id is there.
    void appendRecord(Record record)
    {
        if (!m_appendIds.insert(record.appendId).second)
            return;
        m_log.push_back({LogOffset{m_log.size()}, std::move(record)});
        m_ledger.apply(m_log.back());
    }

    // Calls command(node, now, outbox), then carries out the effects that it left in the outbox.
    template <typename Command>
    void runCommand(std::size_t i, Command command)
    {
        Outbox out;
        command(m_nodes[i]->agent, toTimePoint(m_clock.now()), out);
        std::map<Incarnation, Envelope> envelopes;
        for (Effect &effect : out.take()) {
            if (auto *send = std::get_if<Send>(&effect)) {
                Envelope &envelope = envelopes[send->to];
                countMessage(send->message, send->to);
                envelope.messages.push_back(std::move(send->message));
            } else if (auto *append = std::get_if<Append>(&effect)) {
                m_clock.after(LogDelay, [this, record = append->record] {
                    appendRecord(record);
                    for (std::size_t k = 0; k < m_nodes.size(); ++k)
                        sendFeed(k);
                });
            } else if (const auto *start = std::get_if<StartOnUpstream>(&effect)) {
                execute(i, *start);
            }
        }
        for (auto &[to, envelope] : envelopes) {
            envelope.from = agentOf(i);
            envelope.to = to;
            envelope.loads = m_nodes[i]->agent.loads(toTimePoint(m_clock.now()));
            deliver(std::move(envelope));
        }
        const TimePoint next = m_nodes[i]->agent.nextTimer();
        if (next != NeverTime)
            scheduleTimer(i, std::chrono::duration<double>(next.time_since_epoch()).count());
    }

    // Calls the node's onTimer() at `time`, unless an earlier call is scheduled.
    void scheduleTimer(std::size_t i, double time)
    {
        time = std::max(time, m_clock.now() + 1e-6);
        if (time >= m_nodes[i]->timerAt)
            return;
        m_nodes[i]->timerAt = time;
        m_clock.after(time - m_clock.now(), [this, i, time] {
            if (m_nodes[i]->timerAt != time)
                return; // replaced by an earlier one
            m_nodes[i]->timerAt = HUGE_VAL;
            runCommand(i, [](AgentNode &it, TimePoint now, Outbox &out) { it.onTimer(now, out); });
        });
    }

    // Passes an envelope to its receiver after the delay of the network.
    void deliver(Envelope envelope)
    {
        if (envelope.to == Entry) {
            for (const Message &message : envelope.messages) {
                if (const auto *answer = std::get_if<JobAnswer>(&message))
                    m_clock.after(m_options.delayMs / 1000,
                                  [this, it = *answer] { onAnswer(it.key, it.answer); });
            }
            return;
        }
        const std::size_t to = envelope.to.value - 1;
        const bool isNear
            = envelope.from != Entry && centreOf(envelope.from.value - 1) == centreOf(to);
        m_clock.after((isNear ? m_options.nearDelayMs : m_options.delayMs) / 1000,
                      [this, to, it = std::move(envelope)] {
                          runCommand(to, [&it](AgentNode &node, TimePoint now, Outbox &out) {
                              node.onEnvelope(it, now, out);
                          });
                      });
    }

    // Counts a message if its receiver is an agent.
    void countMessage(const Message &message, Incarnation to)
    {
        if (to == Entry)
            return;
        ++m_result.messages;
        if (const auto *start = std::get_if<StartTask>(&message)) {
            ++m_startTasks;
            m_offerReplies += start->isOfferReply ? 1 : 0;
        } else if (std::holds_alternative<TaskAccepted>(message)) {
            ++m_accepted;
        } else if (std::holds_alternative<TaskBusy>(message)) {
            ++m_busy;
        } else if (std::holds_alternative<SlotOffer>(message)) {
            ++m_offers;
        } else if (std::holds_alternative<OfferDeclined>(message)
                   || std::holds_alternative<TaskRefused>(message)
                   || std::holds_alternative<CancelTask>(message)
                   || std::holds_alternative<TaskNotStarted>(message)) {
            ++m_result.wastedMessages;
        }
    }

    // The upstream announces itself to its agent, and again every 3 s, before its lease of 10 s
    // ends.
    void announceUpstream(std::size_t i)
    {
        const UpstreamAnnouncement announcement{
            Upstream, "u" + std::to_string(i), "up", m_options.slots, 64, {}, toDuration(10)};
        runCommand(i, [&announcement](AgentNode &it, TimePoint now, Outbox &out) {
            it.onUpstreamAnnounced(announcement, now, out);
        });
        m_clock.after(3, [this, i] { announceUpstream(i); });
    }

    // The entry sends an agent the new records of the log and the loads of all agents.
    void sendFeed(std::size_t i)
    {
        Envelope envelope{Entry, agentOf(i), m_loads, {}};
        Feed feed;
        feed.records.assign(m_log.begin() + static_cast<std::ptrdiff_t>(m_nodes[i]->records),
                            m_log.end());
        m_nodes[i]->records = m_log.size();
        feed.next = LogOffset{m_log.size()};
        envelope.messages.emplace_back(std::move(feed));
        deliver(std::move(envelope));
    }

    // Sends a feed to all agents every second, with their loads of a second before.
    void sendFeedToAll()
    {
        for (LoadReport &it : m_loads)
            it.age = toDuration(1);
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            sendFeed(i);
        m_loads.clear();
        for (const auto &node : m_nodes)
            m_loads.push_back(node->agent.loads(toTimePoint(m_clock.now())).front());
        m_clock.after(1, [this] { sendFeedToAll(); });
    }

    JobKey keyOf(std::size_t index) const
    {
        return {m_workload.jobs[index].team + "/" + std::to_string(index)};
    }

    // The entry submits the job with this index at its home.
    void submit(std::size_t index)
    {
        const Job &job = m_workload.jobs[index];
        SubmitJob message;
        message.spec = {keyOf(index),
                        job.team,
                        job.jobClass,
                        Upstream,
                        toDuration(job.deadline),
                        m_options.idempotent,
                        index + 1,
                        {}};
        message.remaining = toDuration(job.arrival + job.deadline + SettleTime - m_clock.now());
        for (const std::size_t task : taskOrder(job, m_options.longestFirst, [this](std::size_t i) {
                 return m_workload.tasks[i].declared;
             })) {
            const std::string name = std::to_string(task);
            message.spec.tasks.push_back(
                {name, name, toDuration(m_workload.tasks[task].declared), {}});
        }
        const ShardState &shard = m_ledger.shard(shardOf(message.spec.key));
        message.epoch = shard.epoch;
        m_jobIndexes[message.spec.key] = index;
        deliver({Entry, shard.home, {}, {std::move(message)}});
    }

    // The entry gets the answer to a job; submits the job again after a refusal with a retry time.
    void onAnswer(const JobKey &key, const Answer &answer)
    {
        const std::size_t index = m_jobIndexes.at(key);
        JobEnd &end = m_result.jobs[index];
        Job &job = m_workload.jobs[index];
        if (end.end != End::None)
            return;
        const double arrival = job.arrival + SettleTime;
        if (answer.outcome == Outcome::NotRun && answer.retryAfter) {
            const double after = std::chrono::duration<double>(*answer.retryAfter).count();
            m_result.refusals.push_back({m_clock.now() - SettleTime, after, job.isFlood});
            if (job.refusals++ < m_options.resubmits
                && m_clock.now() + after < arrival + job.deadline) {
                m_clock.after(after, [this, index] { submit(index); });
                return;
            }
        }
        end.end = answer.outcome == Outcome::Completed ? End::Completed
                  : answer.outcome == Outcome::NotRun  ? End::Refused
                                                       : End::Failed;
        end.response = m_clock.now() - arrival;
        --m_openJobs;
    }

    // The upstream of this worker runs a task, whose payload is its index in Workload::tasks.
    void execute(std::size_t worker, const StartOnUpstream &start)
    {
        const double now = m_clock.now() - SettleTime;
        Task &task = m_workload.tasks[std::stoul(start.payload)];
        const bool fails = worker < m_options.badWorkers && now >= m_options.faultFrom
                           && now < m_options.faultUntil;
        m_result.starts.push_back({now, worker, task.attempts++ > 0});
        const double seconds
            = fails ? m_options.badRunMs / 1000 : task.work / m_workload.speeds[worker];
        m_clock.after(
            seconds, [this, worker, ref = start.ref, attempt = start.attempt, fails, seconds] {
                const TaskResult result{fails ? TaskStatus::Failed : TaskStatus::Completed,
                                        fails ? 500 : 200, "", toDuration(seconds)};
                runCommand(worker, [&](AgentNode &it, TimePoint at, Outbox &out) {
                    it.onUpstreamResult(ref, attempt, result, at, out);
                });
            });
    }

    Options m_options;
    Workload m_workload;
    RunResult m_result;
    Clock m_clock;
    Ledger m_ledger;
    std::vector<LogRecord> m_log;
    std::set<std::string> m_appendIds; // of the records in m_log
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<LoadReport> m_loads;                      // of all agents, as the entry knows them
    std::unordered_map<JobKey, std::size_t> m_jobIndexes; // in Workload::jobs
    std::size_t m_openJobs = 0;                           // jobs that have not ended
    // Numbers of messages between agents, by type.
    std::uint64_t m_startTasks = 0;
    std::uint64_t m_offerReplies = 0; // of m_startTasks, those that answer a slot offer
    std::uint64_t m_accepted = 0;
    std::uint64_t m_busy = 0;
    std::uint64_t m_offers = 0;
};

} // namespace cactuscove::measure
