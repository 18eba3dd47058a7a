// Stand-in for the platform's store behind a slow network link. It has one keyed topic, answers
// long reads and reads of the newest records, and sends its answers at the bit rate of the link. An
// answer can be made to stop half way.

#pragma once

#include "eventloop.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cactuscove {

class SlowStore
{
public:
    // Listens on a free port of the loopback address and serves from `loop`.
    SlowStore(EventLoop &loop, double bitsPerSecond);
    ~SlowStore();
    SlowStore(const SlowStore &) = delete;
    SlowStore &operator=(const SlowStore &) = delete;

    const std::string &address() const { return m_address; } // "ip:port"
    std::size_t sentBytes() const { return m_sentBytes; }    // on all connections so far

    // Appends a record to the topic and answers the long reads that wait for it.
    void append(std::string key, std::string value);
    // Makes all offsets up to now unreadable; the newest record of each key stays available.
    void dropHistory();
    // Makes the next answer stop after this many bytes. Its connection stays open but sends nothing
    // more.
    void stallNextAnswerAfter(std::size_t bytes) { m_stallAfter = bytes; }
    // Makes all connections that are open now send nothing more. They are not closed.
    void silenceConnections();

private:
    struct Record
    {
        std::string key;
        std::string value;
    };

    struct Connection
    {
        std::unique_ptr<IoWatcher> watcher;
        std::string received;                            // of the next request
        std::string unsent;                              // rest of the answer
        std::size_t bytesUntilStall = std::string::npos; // npos: it does not stall
        std::size_t longReadOffset = std::string::npos;  // npos: no long read waits
        bool isSilent = false;                           // sends nothing more
    };

    void accept();
    void onReadable(int fd);
    void answer(Connection &it, std::string_view path);
    void answerRead(Connection &it, std::size_t from);
    void answerNewest(Connection &it);
    void respond(Connection &it, int status, std::string_view body);
    void onTick();

    EventLoop &m_loop;
    double m_bytesPerTick;
    int m_fd = -1;
    std::string m_address;
    std::unique_ptr<IoWatcher> m_listenWatcher;
    Timer m_tickTimer;
    std::map<int, Connection> m_connections; // by descriptor
    std::vector<Record> m_records;
    std::size_t m_firstOffset = 0; // offset of the oldest retained record
    std::size_t m_stallAfter = std::string::npos;
    std::size_t m_sentBytes = 0;
};

} // namespace cactuscove
