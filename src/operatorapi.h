// The HTTP API of operators at an entry:
//
//   GET  /v1/config            the configuration in force
//   PUT  /v1/config            applies the file in the body, which was made from revision `base`
//                              (query parameters: base, office, author), by an append to the log
//   GET  /v1/config/history    the accepted revisions and their changes
//   POST /v1/config/plan       what the file in the body would change, without applying it
//   GET  /v1/status            members, shards and load of the fleet, as this entry knows them
//
// The response to PUT has status 200 if the file was accepted, 400 for wrong parameters, 409 if the
// base does not exist or is no longer in force because another file was accepted after it, 422 for
// an invalid file, 503 if nothing has changed because the entry is not ready or the log service is
// not reachable, and 504 if the result is unknown. A wrong method for one of the paths gets 405.
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
    // LogClient::withdraw(): drops an append; true if the log provably does not contain it.
    std::function<bool(const std::string &appendId)> withdraw;
    // Answers a request; may be called from inside handle().
    std::function<void(RequestId id, HttpResponse reply)> respond;
    // A PUT whose result is still unknown after this time is answered with 503 or 504. Within it an
    // append can fail and be repeated over a new connection. An accepted configuration must be in
    // force within 9 s; the operator gets an answer before that.
    Duration applyTimeout = std::chrono::seconds(8);
};

class OperatorApi
{
public:
    // `self` is the process that owns this object. `loop` and `ledger` must outlive it.
    OperatorApi(EventLoop &loop, Incarnation self, const Ledger &ledger, OperatorApiHooks hooks);

    // Answers the request through hooks.respond, at once or, for a PUT, possibly later. Returns
    // false and does nothing if the path does not belong to this API.
    bool handle(RequestId id, const HttpRequest &request);
    // Must be called after the ledger has applied records or a snapshot; answers each PUT whose
    // record the ledger now contains.
    void onLedgerChange();

private:
    // A configuration that was handed to the log client, but is not in the ledger yet.
    struct PendingApply
    {
        RequestId request;
        ConfigRecord record;
        TimePoint deadline; // answered with 503 or 504 then
    };

    HttpResponse readOnlyResponse(const HttpRequest &request) const; // of any request but PUT
    HttpResponse configResponse() const;
    HttpResponse historyResponse(const HttpRequest &request) const;
    HttpResponse planResponse(const std::string &text) const;
    HttpResponse statusResponse() const;
    void apply(RequestId id, const HttpRequest &request);
    // The response to a PUT whose record is in the ledger, or whose base is outdated.
    HttpResponse applyResponse(const ConfigRecord &record) const;
    HttpResponse conflictResponse(Revision base) const;
    void onTimer(); // answers each PUT that has timed out

    Incarnation m_self;
    EventLoop &m_loop;
    const Ledger &m_ledger;
    OperatorApiHooks m_hooks;
    Timer m_timer; // runs at the earliest PendingApply::deadline
    std::map<std::string, PendingApply> m_pendingApplies; // by append id
    std::uint64_t m_lastAppendNumber = 0;                 // number in the newest append id
};

} // namespace cactuscove
