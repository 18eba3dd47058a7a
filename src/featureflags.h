// Features of the dispatch roles that a deployment switches on by flags of its processes.

#pragma once

namespace cactuscove {

// Every default is off: such a process behaves as one that does not have the feature.
struct FeatureFlags
{
    // Entries and agents exchange what callers ask for, refuse jobs by it when capacity is short,
    // and reserve capacity for jobs that find none.
    bool hasScarcityControl = false;
    // Entries only: partitions of the store that hold a copy of the operators' records. 0: there
    // are no copies, and entries do not hand the records to each other.
    int operatorCopies = 0;
    // Agents only: the description of the worker is kept in the store for the next process.
    bool hasWorkerRecords = false;
};

} // namespace cactuscove
