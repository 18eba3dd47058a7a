// Decoders of bytes from outside get valid messages with random changes. They may refuse them, but
// no exception may leave them.

#include "dispatchcodec.h"
#include "operatorcopy.h"
#include "platform.h"
#include "platformmessages.h"
#include "workerrecord.h"

#include <gtest/gtest.h>

#include <array>
#include <random>
#include <string>

namespace cactuscove {

namespace {

constexpr int Rounds = 4000; // for each decoder

// Changes one place of a message, or several: a byte, a repeated part, a cut, a number, brackets.
class Mutator
{
public:
    explicit Mutator(std::uint32_t seed)
        : m_random(seed)
    {}

    std::string mutate(std::string text)
    {
        for (std::size_t n = 1 + pick(3); n > 0; --n)
            mutateOnce(text);
        return text;
    }

private:
    std::size_t pick(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random);
    }

    void mutateOnce(std::string &text)
    {
        static constexpr std::array<const char *, 8> Pieces
            = {"9223372036854775808", "-1", "1e400", "null", "{}", "[[", "\"", "\xff"};
        const std::size_t at = pick(text.size() + 1);
        const std::size_t length = pick(std::min<std::size_t>(text.size() - at, 16) + 1);
        switch (pick(6)) {
        case 0:
            text.insert(at, 1, static_cast<char>(pick(256)));
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, text.substr(at, length));
            break;
        case 3:
            text.replace(at, length, Pieces[pick(Pieces.size())]);
            break;
        case 4:
            text.insert(at, 70 + pick(2000), pick(2) ? '[' : '\x91');
            break;
        default:
            if (at < text.size())
                text[at] = static_cast<char>(text[at] ^ (1 << pick(8)));
        }
    }

    std::minstd_rand m_random;
};

// Calls `decode` with changed forms of `valid`.
template <typename Decode>
void fuzz(const std::string &valid, Decode decode)
{
    Mutator mutator(20261205);
    for (int i = 0; i < Rounds; ++i) {
        const std::string text = mutator.mutate(valid);
        EXPECT_NO_THROW(decode(text)) << "round " << i;
    }
}

constexpr char Job[]
    = R"({"spec":"x","best_effort":true,"phases":[{"count":4,"cpu":500,"mem_mb":256,)"
      R"("est_runtime_ms":90,"constraints":"a","affinity":"r1"}]})";
constexpr char Config[]
    = R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/a/","service":"s",)"
      R"("timeout_ms":1500,"target_latency_ms":60,"priority":2,"attempts":4,"slack_factor":1.6}],)"
      R"("limits":{"max_body_bytes":262144}})";
constexpr char Heartbeat[]
    = R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","seq_num":4,)"
      R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1"],"born":1788269136761})";
constexpr char Runs[] = R"({"clock_ms":482113,"born":5,"active":[["5c0e.0.0.17",2,"",41,3]],)"
                        R"("finished":[[58,"5c0e.0.0.9",1,"done",""]]})";
constexpr char Newest[] = R"({"items":[{"key":"config","value":"b25l","offset":4},)"
                          R"({"key":"k","value":"","offset":5}],"has_more":true,"end_offset":6})";

} // namespace

// Guards against an exception of the JSON library that ends a process.
TEST(DecoderFuzz, NoChangedMessageOfThePlatformThrows)
{
    fuzz(Job, [](const std::string &it) { platform::parseJob("5c0e7a21d94b36f8", it); });
    fuzz(Config, [](const std::string &it) { platform::parseConfig(it); });
    fuzz(Heartbeat,
         [](const std::string &it) { platform::parseWorkerReport(platform::heartbeat(it)); });
    fuzz(Runs, [](const std::string &it) { platform::parsePollReply(platform::reply(200, it)); });
    fuzz(Newest, [](const std::string &it) { platform::parseNewest(platform::reply(200, it)); });
    fuzz(std::string(16, '\0') + std::string("\0\0\0\x05\x01kone", 9), [](const std::string &it) {
        platform::parseRead(platform::reply(200, it), LogOffset{7});
    });
    fuzz("{}", [](const std::string &it) {
        platform::parseEvacuation({"evacuate/north", it, LogOffset{3}});
    });
}

// Guards against an exception of the MessagePack library that ends a process.
TEST(DecoderFuzz, NoChangedFrameOrRecordThrows)
{
    OperatorSnapshot snapshot;
    snapshot.configVersion = 7;
    snapshot.configText = Config;
    snapshot.evacuations.push_back({"north", true, LogOffset{3}});
    WorkerInfo worker;
    worker.id = "i-1";
    worker.address = "10.0.0.9:80";
    worker.labels = {"a", "r1"};
    worker.startedAtUnixMs = 1788269136761;
    const std::string frame = encodeFrame(std::array<PeerMessage, 4>{
        PeerHello{"edge-1", Incarnation{5}, Role::Entry, "north", "10.0.0.1:7720", ProtocolVersion},
        KnownEntries{{"10.0.0.2:7720"}}, OperatorState{snapshot}, WorkerUpdate{worker, false}});
    fuzz(frame, [](const std::string &it) { decodeFrame(it); });
    fuzz(encodeCopy({snapshot, 1}), [](const std::string &it) { decodeCopy(it, 1 << 18); });
    fuzz(valueOf(encodeWorkerRecord({worker, 1})),
         [](const std::string &it) { decodeWorkerRecord(it); });
}

} // namespace cactuscove
