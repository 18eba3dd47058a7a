// Several entry nodes, one log, and simulated agents that only acknowledge feeds and answer probes,
// all in virtual time. Entries have the incarnations 1, 2, ..., agents 100, 101, ...

#pragma once

#include "entryfixture.h"

#include <map>
#include <memory>
#include <set>

namespace cactuscove::entrytest {

class EntryFleet
{
public:
    explicit EntryFleet(std::size_t entries, std::size_t agents = 1, Duration retention = 1h)
        : m_retention(retention)
    {
        for (std::size_t i = 0; i < entries; ++i)
            addEntry({1 + i});
        for (std::size_t i = 0; i < agents; ++i) {
            const Incarnation agent{100 + i};
            m_log.append(RegisterRecord{member(agent.value, Role::Agent)});
            m_agents[agent];
        }
        run(2s);
    }

    // Creates an entry, which registers in the log.
    EntryNode &addEntry(Incarnation self)
    {
        auto &node = m_entries[self];
        node = std::make_unique<EntryNode>(NodeSettings{member(self.value, Role::Entry), 1},
                                           m_retention);
        Outbox out;
        node->start(m_now, out);
        perform(self, out);
        return *node;
    }

    // Advances the virtual time by `duration` and handles every message and timer of that time.
    void run(Duration duration)
    {
        for (const TimePoint end = m_now + duration;;) {
            settle();
            TimePoint next = end;
            for (const auto &[self, node] : m_entries)
                if (!m_stopped.contains(self))
                    next = std::min(next, std::max(m_now + 1ms, node->nextTimer()));
            if (m_now >= end)
                return;
            m_now = next;
            for (const auto &[self, node] : m_entries) {
                if (m_stopped.contains(self))
                    continue;
                Outbox out;
                node->onTimer(m_now, out);
                perform(self, out);
            }
        }
    }

    void deliver(Incarnation from, Incarnation to, Message message)
    {
        m_wire.push_back({from, to, {}, {std::move(message)}});
    }

    // The records of one kind in the log.
    template <typename T>
    std::vector<T> recordsOf() const
    {
        std::vector<T> result;
        for (const LogRecord &it : m_log.records())
            if (const auto *body = std::get_if<T>(&it.record.body))
                result.push_back(*body);
        return result;
    }

    EntryNode &entry(Incarnation self) { return *m_entries.at(self); }
    Ledger &agentLedger(Incarnation agent) { return m_agents.at(agent); }
    // The state after the whole log.
    Ledger ledger() const
    {
        Ledger ledger;
        for (const LogRecord &it : m_log.records())
            ledger.apply(it);
        return ledger;
    }

    TimePoint m_now = Start;
    TestLog m_log;
    bool m_isLogUp = true;
    std::set<Incarnation> m_stopped;                           // neither run nor answer
    std::set<std::pair<Incarnation, Incarnation>> m_cut;       // from, to: messages are lost
    std::map<std::pair<Incarnation, Incarnation>, int> m_sent; // messages by sender and receiver
    std::vector<std::pair<Incarnation, Feed>> m_feeds;         // that agents have received
    std::vector<AnswerCaller> m_answers;
    std::vector<AdoptWitness> m_adopted; // sent by leaving entries

private:
    // Carries out the effects of one entry.
    void perform(Incarnation self, Outbox &out)
    {
        for (Effect &effect : out.take()) {
            if (auto *send = std::get_if<Send>(&effect)) {
                ++m_sent[{self, send->to}];
                if (const auto *adopt = std::get_if<AdoptWitness>(&send->message))
                    m_adopted.push_back(*adopt);
                deliver(self, send->to, std::move(send->message));
            } else if (auto *append = std::get_if<Append>(&effect)) {
                m_pendingAppends.push_back(std::move(append->record));
            } else if (auto *answer = std::get_if<AnswerCaller>(&effect)) {
                m_answers.push_back(std::move(*answer));
            }
        }
    }

    // Delivers appends, log records and messages until none is left.
    void settle()
    {
        do {
            if (m_isLogUp)
                for (Record &it : std::exchange(m_pendingAppends, {}))
                    m_log.append(std::move(it.body), std::move(it.appendId));
            for (const auto &[self, node] : m_entries) {
                if (m_stopped.contains(self))
                    continue;
                Outbox out;
                node->onLogReachable(m_isLogUp, m_now);
                if (m_isLogUp)
                    node->onLogRecords(m_log.from(node->ledger().next()), {}, m_now, out);
                perform(self, out);
            }
            for (const Envelope &it : std::exchange(m_wire, {}))
                receive(it);
        } while (!m_wire.empty() || (m_isLogUp && !m_pendingAppends.empty()));
    }

    void receive(const Envelope &envelope)
    {
        if (m_stopped.contains(envelope.to) || m_cut.contains({envelope.from, envelope.to}))
            return;
        if (const auto it = m_entries.find(envelope.to); it != m_entries.end()) {
            Outbox out;
            it->second->onEnvelope(envelope, m_now, out);
            perform(envelope.to, out);
        } else if (const auto agent = m_agents.find(envelope.to); agent != m_agents.end()) {
            answerAsAgent(envelope, agent->second);
        }
    }

    void answerAsAgent(const Envelope &envelope, Ledger &ledger)
    {
        for (const Message &message : envelope.messages) {
            if (std::holds_alternative<Probe>(message))
                deliver(envelope.to, envelope.from, ProbeAck{});
            const auto *feed = std::get_if<Feed>(&message);
            if (!feed)
                continue;
            m_feeds.emplace_back(envelope.to, *feed);
            if (feed->snapshot && feed->snapshot->asOf >= ledger.next())
                ledger = valueOf(Ledger::fromSnapshot(*feed->snapshot));
            for (const LogRecord &record : feed->records) {
                EXPECT_LE(record.offset, ledger.next()) << "a gap would go unnoticed";
                ledger.apply(record);
            }
            deliver(envelope.to, envelope.from, FeedAck{ledger.next()});
        }
    }

    Duration m_retention;
    std::map<Incarnation, std::unique_ptr<EntryNode>> m_entries;
    std::map<Incarnation, Ledger> m_agents;
    std::vector<Envelope> m_wire;
    std::vector<Record> m_pendingAppends;
};

} // namespace cactuscove::entrytest
