// What an agent sends to one entry.

#include "entryconnection.h"

#include "operatorrecords.h"
#include "taskrunner.h"

#include <utility>

namespace cactuscove {

void EntryConnection::sendReports(const TaskRunner &runner, TimePoint now)
{
    for (CrashReport &report : runner.crashReports(now))
        sendIfKnown(*link, *entry, std::move(report));
    sendIfKnown(*link, *entry, runner.openStarts(now));
}

void EntryConnection::sendEvacuations(const OperatorRecords &records)
{
    EvacuationUpdate update{records.evacuations(), records.readUpTo()};
    const bool isEmpty = update.evacuations.empty() && update.readUpTo == LogOffset{};
    if (!isEmpty)
        sendIfKnown(*link, *entry, std::move(update));
}

void EntryConnection::sendInventory(const TaskRunner &runner)
{
    TaskInventory inventory = runner.inventoryOf(entry->instance);
    orphanFreeWorkers = inventory.orphanFreeWorkers;
    link->send(std::move(inventory));
}

void EntryConnection::sendWorkers(const TaskRunner &runner, TimePoint now)
{
    for (WorkerUpdate update : runner.workers()) {
        update.isGone |= isReleasing();
        link->send(std::move(update));
    }
    if (!isReleasing())
        sendLoads(runner, runner.loads(now));
}

void EntryConnection::sendLoads(const TaskRunner &runner, const std::vector<WorkerLoad> &loads)
{
    for (WorkerLoad load : loads) {
        load.lastAssignmentNumber = runner.lastAssignmentNumberOf(entry->instance);
        link->send(std::move(load));
    }
    loadVersion = runner.loadVersion();
}

void EntryConnection::sendHeartbeat(TimePoint now, std::uint32_t connectedEntries,
                                    const std::vector<DemandReport> &demand)
{
    link->send(PeerHeartbeat{now, connectedEntries, demand});
    sentDemand = demand;
}

} // namespace cactuscove
