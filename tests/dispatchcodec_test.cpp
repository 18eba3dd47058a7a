// Encoding and decoding of the frames between entries and agents. Guards against fields that are
// lost on the way and against frames that crash the receiver.

#include "dispatchcodec.h"

#include <gtest/gtest.h>

#include <random>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

std::vector<PeerMessage> examples()
{
    AssignTask assign;
    assign.task = {"5c0e", 3};
    assign.attempt = 2;
    assign.workerId = "w1";
    assign.queue = "q";
    assign.payload = std::string("\0\xff payload", 10);
    assign.needs = {3100, 64, 1};
    assign.priority = 2;
    assign.expectedRun = 60ms;
    assign.startDeadline = TimePoint(1h);
    assign.assignmentNumber = 77;
    WorkerLoad load;
    load.workerId = "w1";
    load.free = {-5, 1, 0};
    load.queued = {{0, {3100, 64, 0}}, {2, {1, 2, 3}}};
    load.coreReleaseRate = 0.5;
    load.isUsable = true;
    load.releases = {{40ms, {3100, 64, 0}}};
    TaskInventory inventory;
    inventory.started = {{{"a", 1}, 2}};
    inventory.ended = {{{"b", 0}, 1, TaskEnd::Failed, 5ms}};
    inventory.orphanFreeWorkers = {"w1"};
    return {PeerHello{"name", Incarnation{9}, Role::Entry, "dc", "1.2.3.4:5", 2},
            PeerHeartbeat{TimePoint(2h), 3, {{"bookings", 1, 0.4}}},
            KnownEntries{{"1.2.3.4:5"}},
            assign,
            WithdrawTask{{"5c0e", 3}, 2},
            load,
            TaskStarted{{"a", 1}, 2},
            TaskLate{{"a", 1}, 2, 40ms},
            StartRefused{{"a", 1}, 2, StartRefusal::Duplicate},
            inventory,
            EntriesStarted{{{"1.2.3.4:5", Incarnation{17}}}},
            OperatorOffer{7, LogOffset{12}, 99},
            OperatorRequest{6},
            OperatorState{{7, "{}", {{"north", true, LogOffset{11}}}, LogOffset{12}}},
            EvacuationUpdate{{{"north", false, LogOffset{13}}}, LogOffset{14}},
            CrashReport{Incarnation{5}, 2, CrashState::Withdrawn, 40ms, {{{"a", 1}, "q", true}}},
            OpenStartReport{{{{"a", 1}, 2, "w1", Incarnation{5}, OpenStartState::Suspected, 9s}}}};
}

} // namespace

// Guards against a field that the field list of its message lacks or has at the wrong place.
TEST(DispatchCodec, EveryMessageArrivesAsItWasSent)
{
    const std::string frame = encodeFrame(examples());
    ASSERT_TRUE(isOk(frameSize(frame)));
    EXPECT_EQ(valueOf(frameSize(frame)), frame.size());
    const auto decoded = decodeFrame(frame);
    ASSERT_TRUE(isOk(decoded)) << errorOf(decoded).reason;
    ASSERT_EQ(valueOf(decoded).size(), examples().size());
    EXPECT_EQ(encodeFrame(valueOf(decoded)), frame);
    const auto &assign = std::get<AssignTask>(valueOf(decoded)[3]);
    EXPECT_EQ(assign.payload, std::string("\0\xff payload", 10));
    EXPECT_EQ(assign.startDeadline, TimePoint(1h));
    EXPECT_EQ(std::get<WorkerLoad>(valueOf(decoded)[5]).free.cpuMillis, -5);
}

// Guards against refusing the messages of an older process, which lack the fields that were added
// later.
TEST(DispatchCodec, MissingOptionalFieldsKeepTheirDefaults)
{
    // [[1 (PeerHeartbeat), 5, 3]]
    const std::string body("\x91\x93\x01\x05\x03", 5);
    const auto decoded = decodeFrame(std::string("\0\0\0\x05", 4) + body);
    ASSERT_TRUE(isOk(decoded)) << errorOf(decoded).reason;
    const auto &heartbeat = std::get<PeerHeartbeat>(valueOf(decoded)[0]);
    EXPECT_EQ(heartbeat.connectedEntries, 3u);
    EXPECT_TRUE(heartbeat.demand.empty());
}

// Guards against refusing the messages of a newer process, which may have additional fields at the
// end.
TEST(DispatchCodec, FieldsAfterTheKnownOnesAreIgnored)
{
    // [[4 (WithdrawTask), ["a", 1], 2, "new"]]
    const std::string body("\x91\x94\x04\x92\xa1"
                           "a\x01\x02\xa3new",
                           13);
    const std::string frame = std::string("\0\0\0\x0d", 4) + body;
    const auto decoded = decodeFrame(frame);
    ASSERT_TRUE(isOk(decoded)) << errorOf(decoded).reason;
    EXPECT_EQ(std::get<WithdrawTask>(valueOf(decoded).at(0)).attempt, 2u);
}

// Guards against a crash or an unbounded allocation when a peer sends invalid bytes.
TEST(DispatchCodec, ChangedBytesAreDecodedOrRefused)
{
    const std::string frame = encodeFrame(examples());
    std::mt19937 random(1);
    for (int i = 0; i < 20000; ++i) {
        std::string changed = frame;
        for (int n = 0; n < 3; ++n)
            changed[FrameHeaderBytes + random() % (frame.size() - FrameHeaderBytes)]
                = static_cast<char>(random());
        changed.resize(FrameHeaderBytes + 1 + random() % (frame.size() - FrameHeaderBytes));
        decodeFrame(changed);
    }
    EXPECT_FALSE(isOk(frameSize(std::string("\x7f\xff\xff\xff", 4))));
    EXPECT_FALSE(isOk(decodeFrame("")));
}

} // namespace cactuscove
