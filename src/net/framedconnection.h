#pragma once

#include "core/clocktypes.h"
#include "net/asio.h"
#include "net/neterror.h"
#include "wire/message.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// A TCP connection that carries length-prefixed messages between an entry process and an agent. Not thread-safe.
class FramedConnection : public std::enable_shared_from_this<FramedConnection>
{
public:
    using MessageHandler = std::function<void(Message)>;
    using CloseHandler = std::function<void(const NetError &)>;

    explicit FramedConnection(tcp::socket socket);

    /// Starts reading. The close handler is called once; no handler is called after it.
    void start(MessageHandler onMessage, CloseHandler onClose);

    /// Replaces both handlers, from the next message on.
    void setHandlers(MessageHandler onMessage, CloseHandler onClose);

    /// Queues a message. Messages that are queued during a write are sent together in the next write.
    void send(const Message &message);

    /// Closes the connection at once; queued messages are discarded.
    void close(const NetError &reason);

    bool isOpen() const;

    /// When the last bytes arrived.
    SteadyTime lastReceiveTime() const;

private:
    // The coroutines hold a reference, so the connection lives until both loops have ended.
    static Task<> runReadLoop(std::shared_ptr<FramedConnection> self);
    static Task<> runWriteLoop(std::shared_ptr<FramedConnection> self);
    Task<> readLoop();
    Task<> writeLoop();
    /// Passes each complete message in the input buffer to the handler. Returns false once the connection is closed.
    bool dispatchMessages();

    tcp::socket m_socket;
    MessageHandler m_onMessage;
    CloseHandler m_onClose;
    /// Buffer of one read. Reading into m_receivedBytes directly would zero-fill the grown part at every read.
    std::vector<char> m_readBuffer;
    std::string m_receivedBytes;
    std::string m_queuedBytes;
    std::string m_writtenBytes;
    bool m_isWriting = false;
    bool m_isOpen = true;
    SteadyTime m_lastReceiveTime;
};

} // namespace Cardamomhill
