// Copies of the operators' records: their encoding, and the decisions of entries that write and
// read them, in virtual time.

#include "operatorcopies.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t MaxBytes = 262'100;
constexpr std::uint32_t Partitions = 3;

OperatorSnapshot snapshotOf(std::uint64_t version)
{
    return {version, "text " + std::to_string(version), {}, {}};
}

// The partitions of the store with the copies.
struct Store
{
    struct Partition
    {
        std::vector<std::string> records;
        bool isSilent = false; // a call ends without an answer after 1 s
        bool losesAnswers = false;
        int reads = 0;
        int appends = 0;
        int conflicts = 0;
    };
    std::vector<Partition> partitions = std::vector<Partition>(Partitions);
    Duration delay = 2ms; // of each answer

    std::uint64_t versionIn(std::uint32_t number) const
    {
        const auto &records = partitions[number].records;
        return records.empty()
                   ? 0
                   : valueOf(decodeCopy(records.back(), MaxBytes)).snapshot.configVersion;
    }
};

// Entries with one store, which hear of each other's copies after 5 ms.
class Fleet
{
public:
    struct Entry
    {
        OperatorRecords records;
        std::unique_ptr<OperatorCopies> copies;
        std::vector<LogEvent> log;
        bool isKilled = false;
    };

    explicit Fleet(int count, Store &store)
        : m_store(store)
        , m_entries(static_cast<std::size_t>(count))
    {
        for (int i = 0; i < count; ++i)
            start(i);
    }

    void start(int number)
    {
        Entry &it = m_entries[static_cast<std::size_t>(number)];
        it = {};
        CopySettings settings{Partitions, "10.0.0." + std::to_string(number) + ":1", MaxBytes, 0,
                              static_cast<std::uint64_t>(number)};
        it.copies = std::make_unique<OperatorCopies>(settings, it.records, now);
        for (std::size_t i = 0; i < m_entries.size(); ++i)
            it.copies->entryKnown("10.0.0." + std::to_string(i) + ":1");
    }

    void apply(int number, std::uint64_t version)
    {
        Entry &it = entry(number);
        it.records.updateConfig(version, snapshotOf(version).configText);
        it.copies->recordsChanged(now);
    }

    // The operators' topic was read and holds nothing yet.
    void readTopic()
    {
        for (Entry &it : m_entries)
            it.copies->topicRead(true);
        run(1s);
    }

    void applyEverywhere(std::uint64_t version)
    {
        for (int i = 0; i < size(); ++i)
            apply(i, version);
    }

    void run(Duration time)
    {
        const TimePoint end = now + time;
        while (now < end) {
            now += 1ms;
            while (!m_events.empty() && m_events.begin()->first <= now) {
                const auto event = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                event();
            }
            for (int i = 0; i < size(); ++i)
                process(i);
        }
    }

    int size() const { return static_cast<int>(m_entries.size()); }
    Entry &entry(int number) { return m_entries[static_cast<std::size_t>(number)]; }

    TimePoint now{1h};

private:
    void process(int number)
    {
        Entry &it = entry(number);
        if (it.isKilled)
            return;
        CopiesOutbox out;
        it.copies->processPending(now, out);
        perform(number, out);
        const std::uint64_t hash = it.copies->copiedHash();
        if (hash == 0 || !m_reported.insert(hash).second)
            return;
        at(5ms, [this, hash] {
            for (Entry &each : m_entries)
                each.copies->reportedCopied(hash);
        });
    }

    void perform(int number, CopiesOutbox &out)
    {
        for (CopiesEffect &effect : out)
            std::visit([&](auto &it) { carryOut(number, it); }, effect);
    }

    void carryOut(int number, ReadCopy &effect)
    {
        Store::Partition &it = m_store.partitions[effect.partition];
        ++it.reads;
        std::optional<CopyPage> page;
        if (!it.isSilent)
            page = CopyPage{LogOffset{it.records.size()},
                            it.records.empty() ? std::nullopt : std::optional(it.records.back()),
                            LogOffset{it.records.size() - 1}};
        at(page ? m_store.delay : Duration(1s), [this, number, effect, page] {
            CopiesOutbox out;
            entry(number).copies->onRead(effect.partition, page, now, out);
            perform(number, out);
        });
    }

    void carryOut(int number, WriteCopy &effect)
    {
        Store::Partition &it = m_store.partitions[effect.partition];
        ++it.appends;
        auto result = CopyWriteResult::Unclear;
        if (!it.isSilent && effect.at.value != it.records.size()) {
            result = CopyWriteResult::Conflict;
            ++it.conflicts;
        } else if (!it.isSilent) {
            it.records.push_back(effect.bytes);
            result = it.losesAnswers ? CopyWriteResult::Unclear : CopyWriteResult::Written;
        }
        at(result == CopyWriteResult::Unclear ? Duration(1s) : m_store.delay,
           [this, number, partition = effect.partition, result] {
               CopiesOutbox out;
               entry(number).copies->onWritten(partition, result, now, out);
               perform(number, out);
           });
    }

    void carryOut(int number, UseCopy &effect)
    {
        Entry &it = entry(number);
        const OperatorSnapshot &snapshot = effect.copy.snapshot;
        it.records.updateConfig(snapshot.configVersion, snapshot.configText);
        it.records.mergeEvacuations(snapshot.evacuations, snapshot.readUpTo);
        it.copies->recordsChanged(now);
    }

    void carryOut(int number, LogEvent &effect) { entry(number).log.push_back(effect); }

    void at(Duration delay, std::function<void()> event)
    {
        m_events.emplace(now + delay, std::move(event));
    }

    Store &m_store;
    std::vector<Entry> m_entries;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::set<std::uint64_t> m_reported; // hashes that all entries hear of
};

int lines(const Fleet::Entry &entry, std::string_view name)
{
    return static_cast<int>(std::count_if(entry.log.begin(), entry.log.end(),
                                          [&](const LogEvent &it) { return it.name == name; }));
}

} // namespace

// Guards against putting in force what was not written so: each kind of damage must be noticed.
TEST(OperatorCopy, DamagedBytesNameTheirField)
{
    OperatorCopy copy{{7, "text", {{"north", true, LogOffset{5}}}, LogOffset{6}}, 123};
    const std::string bytes = encodeCopy(copy);
    const auto decoded = decodeCopy(bytes, MaxBytes);
    ASSERT_TRUE(isOk(decoded)) << errorOf(decoded).reason;
    EXPECT_EQ(valueOf(decoded).snapshot, copy.snapshot);
    EXPECT_EQ(valueOf(decoded).writtenAtMs, 123);

    const auto fieldOf = [](const std::string &it, std::size_t maxBytes = MaxBytes) {
        const auto result = decodeCopy(it, maxBytes);
        return isOk(result) ? "none" : errorOf(result).field;
    };
    for (std::size_t n = 0; n < bytes.size(); ++n)
        EXPECT_EQ(fieldOf(bytes.substr(0, n)), "size") << n;
    EXPECT_EQ(fieldOf(bytes, bytes.size() - 1), "size");
    std::string changed = bytes;
    changed[3] = 0;
    EXPECT_EQ(fieldOf(changed), "format");
    for (std::size_t i = 8; i < bytes.size(); ++i) {
        changed = bytes;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        EXPECT_EQ(fieldOf(changed), "checksum") << i;
    }
    EXPECT_EQ(fieldOf(encodeCopy({})), "config");
}

// Guards against a version that is lost when the fleet is killed half a second after it came into
// force, and against every entry calling the store for it.
TEST(OperatorCopies, AVersionIsWrittenSoonByFewCalls)
{
    for (const int count : {1, 13, 300}) {
        Store store;
        Fleet fleet(count, store);
        fleet.readTopic();
        fleet.applyEverywhere(7);
        fleet.run(100ms);
        for (std::uint32_t i = 0; i < Partitions; ++i) {
            EXPECT_EQ(store.versionIn(i), 7u) << count;
            EXPECT_EQ(store.partitions[i].reads, 1) << count;
            EXPECT_EQ(store.partitions[i].appends, 1) << count;
        }
        fleet.run(5s);
        EXPECT_EQ(store.partitions[0].reads + store.partitions[0].appends, 2) << count;
    }
}

// Guards against a write for each of many quick changes, and against the last one being left out.
TEST(OperatorCopies, QuickChangesAreWrittenTogether)
{
    Store store;
    Fleet fleet(13, store);
    fleet.readTopic();
    for (std::uint64_t version = 1; version <= 20; ++version) {
        fleet.applyEverywhere(version);
        fleet.run(50ms);
    }
    fleet.run(450ms);
    EXPECT_EQ(store.versionIn(0), 20u);
    EXPECT_LE(store.partitions[0].appends, 4);
}

// Guards against a copy that is not written because the first entries in rank are down, the store
// is slow or an answer is lost, and against more writes than one for each partition where the
// condition on the partition's end was meant to prevent them.
TEST(OperatorCopies, AVersionIsWrittenWhateverTheStoreDoes)
{
    for (const Duration delay : {2ms, 400ms}) {
        Store store;
        store.delay = delay;
        store.partitions[1].losesAnswers = true;
        store.partitions[2].isSilent = true;
        Fleet fleet(13, store);
        fleet.readTopic();
        // A third of the entries has been killed, and so has not heard of the version.
        for (int i = 0; i < fleet.size(); ++i)
            if (i % 3 == 0)
                fleet.entry(i).isKilled = true;
        for (int i = 0; i < fleet.size(); ++i)
            if (i % 3 != 0)
                fleet.apply(i, 7);
        fleet.run(delay == 2ms ? 500ms : 1500ms);
        EXPECT_EQ(store.versionIn(0), 7u);
        EXPECT_EQ(store.versionIn(1), 7u);
        EXPECT_EQ(store.versionIn(2), 0u);
        store.partitions[2].isSilent = false;
        fleet.run(3s);
        EXPECT_EQ(store.versionIn(2), 7u);
        for (const Store::Partition &it : store.partitions) {
            EXPECT_EQ(it.records.size(), 1u);
            EXPECT_LE(it.reads, 16);
            EXPECT_LE(it.appends, 8);
        }
    }
}

// Guards against a version that no entry writes because most of the known addresses are out of
// date.
TEST(OperatorCopies, TheLastEntriesWriteIfAllOthersAreGone)
{
    Store store;
    Fleet fleet(60, store);
    fleet.readTopic();
    for (int i = 2; i < fleet.size(); ++i)
        fleet.entry(i).isKilled = true;
    fleet.apply(0, 7);
    fleet.apply(1, 7);
    fleet.run(60s);
    EXPECT_EQ(store.versionIn(0), 7u);
    EXPECT_EQ(store.partitions[0].reads, 1);
}

// Guards against an older state that replaces a newer copy, and against an evacuation that is lost
// when an entry that does not know it writes a newer configuration.
TEST(OperatorCopies, AWriterKeepsWhatIsNewer)
{
    Store store;
    store.partitions[0].records = {encodeCopy({snapshotOf(9), 0})};
    OperatorSnapshot evacuated = snapshotOf(5);
    evacuated.evacuations = {{"north", true, LogOffset{4}}};
    store.partitions[1].records = {encodeCopy({evacuated, 0})};
    Fleet fleet(1, store);
    fleet.readTopic();
    fleet.apply(0, 7);
    fleet.run(2s);
    EXPECT_EQ(store.versionIn(0), 9u);
    const auto copy = decodeCopy(store.partitions[1].records.back(), MaxBytes);
    EXPECT_EQ(valueOf(copy).snapshot.configVersion, 7u);
    EXPECT_EQ(valueOf(copy).snapshot.evacuations, evacuated.evacuations);
}

// Guards against entries that have no configuration although a copy can be read, and against a
// silent partition that delays the others or hides a newer copy.
TEST(OperatorCopies, AfterTheLossOfAllProcessesTheNewestCopyIsUsed)
{
    Store store;
    store.partitions[0].isSilent = true;
    store.partitions[0].records = {encodeCopy({snapshotOf(7), 0})};
    store.partitions[1].records = {encodeCopy({snapshotOf(6), 0})};
    Fleet fleet(2, store);
    fleet.entry(1).copies->topicRead(false);
    fleet.run(10ms);
    EXPECT_EQ(fleet.entry(0).records.configVersion(), 0u) << "the topic has 250 ms to answer";
    EXPECT_EQ(fleet.entry(1).records.configVersion(), 6u) << "the read of the topic has failed";
    fleet.run(250ms);
    EXPECT_EQ(fleet.entry(0).records.configVersion(), 6u);
    fleet.entry(1).copies->topicRead(true);
    store.partitions[0].isSilent = false;
    fleet.run(1500ms);
    EXPECT_EQ(fleet.entry(0).records.configVersion(), 7u);
    EXPECT_EQ(fleet.entry(1).records.configVersion(), 6u) << "only the topic counts here";
}

// Guards against a flood of calls or log lines while the store is down or holds a bad copy.
TEST(OperatorCopies, FaultsOfTheStoreCauseFewCallsAndLines)
{
    Store store;
    store.partitions[0].records = {"bad"};
    store.partitions[1].isSilent = true;
    Fleet fleet(1, store);
    fleet.run(5s);
    EXPECT_EQ(lines(fleet.entry(0), "copy_unreadable"), 1);
    EXPECT_EQ(store.partitions[0].reads, 1);
    EXPECT_LE(store.partitions[1].reads, 5);
    fleet.entry(0).records.updateConfig(7, std::string(MaxBytes, 'x'));
    fleet.entry(0).copies->recordsChanged(fleet.now);
    fleet.run(5s);
    EXPECT_EQ(lines(fleet.entry(0), "copy_too_large"), 1);
    EXPECT_EQ(store.partitions[2].appends, 0);
}

} // namespace cactuscove
