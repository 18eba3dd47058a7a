// Copies of the operators' records: one in each of the first partitions of a topic of the product,
// so that a fleet that has lost all processes has a configuration again although the partition of
// the operators' topic does not respond.
//
// Writing: after a change of the records all known entries are ranked by a hash of the new state
// and the entry's address. The first one writes, the next ones begin one after the other unless
// they learn that the state is written. A writer reads the partition and appends only if what it
// found is older, on condition that the partition has not changed since. Each partition goes its
// own way, so that one that does not respond delays no other, and calls to it are repeated until
// it holds the state or a newer state replaces it.
//
// Reading: an entry without a configuration reads all copies at once when the read of the
// operators' topic has failed or takes long.
//
// Does no I/O and reads no clock: inputs carry the time.

#pragma once

#include "operatorcopy.h"
#include "operatorrecords.h"
#include "outbox.h"
#include "result.h"

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cactuscove {

// Effect: read the copy in this partition. onRead() reports the outcome.
struct ReadCopy
{
    std::uint32_t partition = 0;
};

// Effect: append the copy to this partition, on condition that it ends at `at`. onWritten() reports
// the outcome.
struct WriteCopy
{
    std::uint32_t partition = 0;
    LogOffset at;
    std::string bytes;
};

// Effect: put these records in force where they are newer.
struct UseCopy
{
    std::uint32_t partition = 0;
    OperatorCopy copy;
    Duration age{}; // by the clocks of this machine and of the writer's
};

using CopiesEffect = std::variant<ReadCopy, WriteCopy, UseCopy, LogEvent>;
using CopiesOutbox = std::vector<CopiesEffect>;

// What a read found in a partition.
struct CopyPage
{
    LogOffset end;                    // of the partition
    std::optional<std::string> bytes; // of the copy, if there is one
    LogOffset offset;                 // of the copy
};

enum class CopyWriteResult {
    Written,
    Conflict, // the partition has changed since it was read; nothing was written
    Refused,  // nothing was written
    Unclear,  // no answer; it may have been written
};

struct CopySettings
{
    std::uint32_t partitions = 0;  // that hold a copy
    std::string selfAddress;       // link address of this entry
    std::size_t maxCopyBytes = 0;  // a record of the store takes no more
    std::int64_t bootAtUnixMs = 0; // Unix time at which the clock of the inputs showed 0
    std::uint64_t seed = 0;        // of the jitter of retries; a different one in each process
};

// One object per entry process.
class OperatorCopies
{
public:
    // `records` are those in force; they must outlive this object. `startedAt` is the start of the
    // read of the operators' topic.
    OperatorCopies(CopySettings settings, const OperatorRecords &records, TimePoint startedAt);

    // Commands

    // The address of another entry is known.
    void entryKnown(std::string_view address) { m_entries.insert(std::string(address)); }
    // `records` have changed.
    void recordsChanged(TimePoint now);
    // A read of the operators' topic has ended.
    void topicRead(bool isSuccess);
    // Another entry knows that the state with this hash is in the copies.
    void reportedCopied(std::uint64_t hash);
    // Outcomes of ReadCopy (none: it failed) and WriteCopy.
    void onRead(std::uint32_t partition, const std::optional<CopyPage> &page, TimePoint now,
                CopiesOutbox &out);
    void onWritten(std::uint32_t partition, CopyWriteResult result, TimePoint now,
                   CopiesOutbox &out);
    // Begins the calls that are due. To be called after inputs and at nextTimer().
    void processPending(TimePoint now, CopiesOutbox &out);

    // Queries

    // Hash of the state in force if it is known to be in most copies; 0 if not.
    std::uint64_t copiedHash() const { return m_isCopied ? m_hash : 0; }
    TimePoint nextTimer() const { return m_nextTimer; } // as of the newest processPending()

private:
    struct Partition
    {
        bool isCalling = false;      // a read or an append has not ended
        int failures = 0;            // in a row
        TimePoint nextCallAt{};      // not called before this time
        bool wasRead = false;        // some read of this process has ended with an answer
        std::uint64_t holdsHash = 0; // state that it need not be written for; 0: none
        // Newest content by the last read or append, until contentFreshUntil. Its text is empty.
        OperatorSnapshot content;
        LogOffset end;
        TimePoint contentFreshUntil{};
        OperatorSnapshot writing;              // the append that has not ended; its text is empty
        std::optional<LogOffset> unreadableAt; // copy that was reported as unreadable
    };

    // Whether copies are read to be put in force.
    enum class Use { Waiting, Reading, Over };

    bool isReading(const Partition &it) const { return m_use == Use::Reading && !it.wasRead; }
    bool isWriting(const Partition &it) const { return m_isWriter && it.holdsHash != m_hash; }
    // When this entry begins to write the state, by its rank; NeverTime if it need not.
    TimePoint writeStart() const;
    void beginWriting(TimePoint now, CopiesOutbox &out);
    // If a copy of this size is larger than a record, reports it and returns false; nothing is
    // written until the next change then.
    bool fitsRecord(std::size_t bytes, CopiesOutbox &out);
    // Starts the read or the append that the partition needs, if any.
    void callPartition(std::uint32_t number, TimePoint now, CopiesOutbox &out);
    void write(std::uint32_t number, TimePoint now, CopiesOutbox &out);
    void onFailure(Partition &it, TimePoint now);
    // The state in force with the evacuations of the partition's content that are newer.
    OperatorSnapshot mergedWith(const OperatorSnapshot &content) const;
    // Notes if the partition needs no append of the state in force.
    void checkContent(Partition &it);
    std::optional<OperatorCopy> decode(std::uint32_t number, const CopyPage &page,
                                       CopiesOutbox &out);

    CopySettings m_settings;
    const OperatorRecords &m_records;
    TimePoint m_startedAt;
    std::minstd_rand m_random;
    std::set<std::string> m_entries; // addresses of this entry and of all others that are known
    std::vector<Partition> m_partitions;
    Use m_use = Use::Waiting;
    std::uint64_t m_hash = 0; // of the state in force; 0: no configuration
    TimePoint m_dueAt{};      // when the first entry in rank writes that state
    bool m_isCopied = false;  // the state in force is in most copies
    bool m_isWriter = false;  // this entry writes the state in force
    TimePoint m_nextTimer = NeverTime;
};

} // namespace cactuscove
