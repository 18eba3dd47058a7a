// A TCP connection between an entry and an agent that carries frames of messages. Messages of one
// turn of the event loop leave in one write.

#pragma once

#include "dispatchcodec.h"
#include "eventloop.h"
#include "result.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cactuscove {

struct LinkError
{
    std::string reason;
};

class FramedLink
{
public:
    struct Handlers
    {
        std::function<void()> onOpen; // a dialled connection is established; may be empty
        std::function<void(std::vector<PeerMessage> messages)> onMessages;
        // The connection has ended by itself. The handler may destroy the link.
        std::function<void(std::string_view reason)> onClosed;
    };

    // Dials "ip:port"; the outcome comes with onOpen or onClosed.
    static Result<std::unique_ptr<FramedLink>, LinkError>
    dial(EventLoop &loop, std::string_view address, Handlers handlers);
    // Takes over an accepted socket.
    static std::unique_ptr<FramedLink> adopt(EventLoop &loop, int fd, Handlers handlers);
    ~FramedLink();
    FramedLink(const FramedLink &) = delete;
    FramedLink &operator=(const FramedLink &) = delete;

    // Queues a message; flush() or the end of the turn sends it.
    void send(PeerMessage message);
    void flush();

    bool isOpen() const;
    TimePoint sentAt() const; // steady clock, of the newest message

private:
    class Impl;
    explicit FramedLink(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

class FramedListener
{
public:
    // `onAccepted` owns the descriptor that it is given.
    static Result<std::unique_ptr<FramedListener>, LinkError>
    listen(EventLoop &loop, std::string_view address, std::function<void(int fd)> onAccepted);
    ~FramedListener();
    FramedListener(const FramedListener &) = delete;
    FramedListener &operator=(const FramedListener &) = delete;

    std::string address() const; // with the port in use

private:
    class Impl;
    explicit FramedListener(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace cactuscove
