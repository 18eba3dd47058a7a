// Stand-in of the platform's store behind a slow link: one keyed topic, answers at the pace of the
// link, long reads, and an answer that can be made to stop half way.

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
    SlowStore(EventLoop &loop, double bitsPerSecond);
    ~SlowStore();
    SlowStore(const SlowStore &) = delete;
    SlowStore &operator=(const SlowStore &) = delete;

    const std::string &address() const { return m_address; } // "ip:port"
    std::size_t sentBytes() const { return m_sentBytes; }

    void append(std::string key, std::string value);
    void dropHistory(); // the newest record of each key is kept
    // The next answer stops after this many bytes, and its connection says nothing further.
    void stallNextAnswerAfter(std::size_t bytes) { m_stallAfter = bytes; }

private:
    struct Record
    {
        std::string key;
        std::string value;
    };

    struct Connection
    {
        std::unique_ptr<IoWatcher> watcher;
        std::string received;
        std::string unsent;
        std::size_t left = std::string::npos;      // bytes until it stalls
        std::size_t waitsFrom = std::string::npos; // offset of a long read
    };

    void accept();
    void onReadable(int fd);
    void answer(Connection &it, std::string_view path);
    void answerRead(Connection &it, std::size_t from);
    void answerNewest(Connection &it);
    void respond(Connection &it, int status, std::string_view body);
    void tick();

    EventLoop &m_loop;
    double m_bytesPerTick;
    int m_fd = -1;
    std::string m_address;
    std::unique_ptr<IoWatcher> m_acceptor;
    Timer m_ticker;
    std::map<int, Connection> m_connections; // by descriptor
    std::vector<Record> m_records;
    std::size_t m_first = 0; // offset of the oldest retained record
    std::size_t m_stallAfter = std::string::npos;
    std::size_t m_sentBytes = 0;
};

} // namespace cactuscove
