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

/// A TCP connection that carries messages. Used by one thread only.
class FramedConnection : public std::enable_shared_from_this<FramedConnection>
{
public:
    using MessageHandler = std::function<void(Message)>;
    using CloseHandler = std::function<void(const NetError &)>;

    explicit FramedConnection(tcp::socket socket);

    /// Starts reading. The close handler runs once, after which no other handler runs.
    void start(MessageHandler onMessage, CloseHandler onClose);

    /// Replaces the handlers, for messages that arrive from now on.
    void setHandlers(MessageHandler onMessage, CloseHandler onClose);

    /// Queues a message. Messages that are queued while a write is under way leave together in the next one.
    void send(const Message &message);

    /// Closes at once; queued messages are lost.
    void close(const NetError &reason);

    bool isOpen() const;

    /// When the last bytes arrived.
    SteadyTime lastReceived() const;

private:
    // The loops keep the connection alive.
    static Task<> readShared(std::shared_ptr<FramedConnection> self);
    static Task<> writeShared(std::shared_ptr<FramedConnection> self);
    Task<> readLoop();
    Task<> writeLoop();
    bool handleBytes();

    tcp::socket m_socket;
    MessageHandler m_onMessage;
    CloseHandler m_onClose;
    /// Where reads land. Growing m_received for each read instead would clear the whole chunk every time.
    std::vector<char> m_chunk;
    std::string m_received;
    std::string m_queued;
    std::string m_writing;
    bool m_isWriting = false;
    bool m_isOpen = true;
    SteadyTime m_lastReceived;
};

} // namespace Cardamomhill
