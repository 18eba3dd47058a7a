// The operators' HTTP API of an entry: the configuration, its history and plan, and the fleet's
// status.

#pragma once

#include "eventloop.h"
#include "httpserver.h"
#include "ledger.h"
#include "records.h"
#include "types.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cactuscove {

// What the API needs from the process that owns it.
struct OperatorApiHooks
{
    std::function<bool()> isReady; // the ledger has caught up with the log
    std::function<bool()> isLogReachable;
    std::function<std::vector<LoadReport>()> loads;
    std::function<void(Record)> append;                            // LogClient::append()
    std::function<bool(const std::string &appendId)> withdraw;     // LogClient::withdraw()
    std::function<void(RequestId id, HttpResponse reply)> respond; // may be called in handle()
    // Longer than one append with its repetition over a new connection, and shorter than the 9 s
    // in which a configuration must be in force, so that an operator knows by then.
    Duration applyTimeout = std::chrono::seconds(8);
};

class OperatorApi
{
public:
    OperatorApi(EventLoop &loop, Incarnation self, const Ledger &ledger, OperatorApiHooks hooks);

    // False if the path is not one of this API; nothing is done then.
    bool handle(RequestId id, const HttpRequest &request);
    // To be called after the ledger has applied records or a snapshot.
    void onLedgerChange();

private:
    // A configuration that has been appended and is not yet seen in the log.
    struct PendingApply
    {
        RequestId request;
        ConfigRecord record;
        TimePoint until;
    };

    HttpResponse answer(const HttpRequest &request) const; // all but PUT
    HttpResponse config() const;
    HttpResponse history(const HttpRequest &request) const;
    HttpResponse plan(const std::string &text) const;
    HttpResponse status() const;
    void apply(RequestId id, const HttpRequest &request);
    HttpResponse verdict(const ConfigRecord &record) const; // once the log has the record
    HttpResponse conflict(Revision base) const;
    void onTimer();

    Incarnation m_self;
    EventLoop &m_loop;
    const Ledger &m_ledger;
    OperatorApiHooks m_hooks;
    Timer m_timer;
    std::map<std::string, PendingApply> m_pending; // by append id
    std::uint64_t m_lastAppend = 0;
};

} // namespace cactuscove
