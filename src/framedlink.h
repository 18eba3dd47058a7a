// TCP connections between entries and agents, and among entries, that carry frames of messages
// (dispatchcodec.h). All messages that are queued when flush() is called go into one frame; the
// event loop calls it in its next iteration after a send().

#pragma once

#include "dispatchcodec.h"
#include "eventloop.h"
#include "result.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactuscove {

// Why FramedLink::dial() or FramedListener::listen() failed.
struct LinkError
{
    std::string reason;
};

// One connection. Its owner destroys the object to close the connection; messages that are not sent
// by then are lost, and no handler is called any more.
class FramedLink
{
public:
    // All handlers are called by the event loop, never from inside a function of FramedLink. Each
    // may destroy the link. onOpen and onMessages must not use their captures after that, because
    // these are destroyed with it.
    struct Handlers
    {
        // A dialled connection is established; not called for an adopted one. May be empty.
        std::function<void()> onOpen;
        // One frame has arrived. Must be set.
        std::function<void(std::vector<PeerMessage> messages)> onMessages;
        // The connection could not be established, was closed by the peer, failed, received an
        // invalid frame, or has more than 4 MiB (MaxUnsentBytes in framedlink.cpp) that the peer
        // does not read. Called once; no handler is called after it. Must be set.
        std::function<void(std::string_view reason)> onClosed;
    };

    // Begins to connect to `address`, which is an IPv4 "ip:port". The outcome is reported by onOpen
    // or onClosed. Fails if the address is malformed or no attempt can be made. There is no time
    // limit: the owner destroys the link if it waits no longer.
    static Result<std::unique_ptr<FramedLink>, LinkError>
    dial(EventLoop &loop, std::string_view address, Handlers handlers);
    // Takes over an accepted, non-blocking socket, such as one from FramedListener. The link is
    // open at once.
    static std::unique_ptr<FramedLink> adopt(EventLoop &loop, int fd, Handlers handlers);
    ~FramedLink();
    FramedLink(const FramedLink &) = delete;
    FramedLink &operator=(const FramedLink &) = delete;

    // Queues a message, also before the connection is established. It is sent by flush() or by the
    // event loop in its next iteration. Messages on a failed connection are discarded.
    void send(PeerMessage message);
    // Encodes the queued messages and writes as much as the socket takes. The rest follows later,
    // as does everything that is flushed before the connection is established.
    void flush();

    bool isOpen() const; // established and not failed
    // When flush() last encoded messages, by EventLoop::now(); TimePoint{} before the first time.
    // The socket may have taken them later.
    TimePoint sentAt() const;

private:
    class Impl;
    explicit FramedLink(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

// Sends a report (see firstProtocolOf()) unless the peer's protocol does not have it.
inline void sendIfKnown(FramedLink &link, const PeerHello &peer, PeerMessage report)
{
    if (peer.protocol >= firstProtocolOf(report))
        link.send(std::move(report));
}

// Accepts connections on one address.
class FramedListener
{
public:
    // Listens on `address`, which is an IPv4 "ip:port"; port 0 picks a free one. Calls `onAccepted`
    // from the event loop with the socket of each connection; `onAccepted` must close it or pass it
    // to FramedLink::adopt(). Fails if the address is malformed or cannot be listened on.
    static Result<std::unique_ptr<FramedListener>, LinkError>
    listen(EventLoop &loop, std::string_view address, std::function<void(int fd)> onAccepted);
    ~FramedListener();
    FramedListener(const FramedListener &) = delete;
    FramedListener &operator=(const FramedListener &) = delete;

    std::string address() const; // "ip:port" with the port in use

private:
    class Impl;
    explicit FramedListener(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace cactuscove
