// The HTTP API of operators at an entry:
//
//   GET  /v1/config            the configuration in force
//   PUT  /v1/config            applies a file that was made from revision `base` (query parameters:
//                              base, office, author) by an append to the log
//   GET  /v1/config/history    the accepted revisions and their changes
//   POST /v1/config/plan       what a file would change, without applying it
//   GET  /v1/status            members, shards and load of the fleet, as this entry knows them
//
// The response to PUT has status 200 if the file was accepted, 400 for wrong parameters, 409 if the
// base does not exist or another file was accepted on it, 422 for an invalid file, 503 if nothing
// has changed because the entry is not ready or the log service is not reachable, and 504 if the
// result is unknown.
//
// EntryProcess owns the OperatorApi and passes requests to it.

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

// Functions and settings that the owner of an OperatorApi supplies. All functions must be set.
struct OperatorApiHooks
{
    std::function<bool()> isReady;                  // the ledger has caught up with the log
    std::function<bool()> isLogReachable;           // the last call to the log service succeeded
    std::function<std::vector<LoadReport>()> loads; // newest known load of each agent
    std::function<void(Record)> append;             // LogClient::append()
    std::function<bool(const std::string &appendId)> withdraw; // LogClient::withdraw()
    // Answers a request; may be called from inside handle().
    std::function<void(RequestId id, HttpResponse reply)> respond;
    // An apply without a result is answered after this time. It is longer than one append and its
    // repetition over a new connection take, and shorter than the 9 s within which an accepted
    // configuration must be in force, so that the operator knows the result by then.
    Duration applyTimeout = std::chrono::seconds(8);
};

class OperatorApi
{
public:
    // `self` is the process that owns this object. `loop` and `ledger` must outlive it.
    OperatorApi(EventLoop &loop, Incarnation self, const Ledger &ledger, OperatorApiHooks hooks);

    // Answers the request through hooks.respond, at once or, for an apply, later. Returns false and
    // does nothing if the path does not belong to this API.
    bool handle(RequestId id, const HttpRequest &request);
    // Must be called after the ledger has applied records or a snapshot; answers the applies whose
    // record the ledger now has.
    void onLedgerChange();

private:
    // A configuration that was handed to the log client, but is not in the ledger yet.
    struct PendingApply
    {
        RequestId request;
        ConfigRecord record;
        TimePoint deadline; // answered without a result then
    };

    HttpResponse readOnlyResponse(const HttpRequest &request) const; // of any request but PUT
    HttpResponse configResponse() const;
    HttpResponse historyResponse(const HttpRequest &request) const;
    HttpResponse planResponse(const std::string &text) const;
    HttpResponse statusResponse() const;
    void apply(RequestId id, const HttpRequest &request);
    // The result of an apply whose record is in the ledger, or whose base is outdated.
    HttpResponse applyResponse(const ConfigRecord &record) const;
    HttpResponse conflictResponse(Revision base) const;
    void onTimer(); // answers the applies that have timed out

    Incarnation m_self;
    EventLoop &m_loop;
    const Ledger &m_ledger;
    OperatorApiHooks m_hooks;
    Timer m_timer; // runs at the earliest PendingApply::deadline
    std::map<std::string, PendingApply> m_pendingApplies; // by append id
    std::uint64_t m_lastAppendNumber = 0;                 // number in the newest append id
};

} // namespace cactuscove
