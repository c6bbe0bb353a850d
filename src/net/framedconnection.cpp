#include "net/framedconnection.h"

#include "net/spawn.h"
#include "net/steadynow.h"
#include "wire/messagecodec.h"

#include <boost/asio/write.hpp>

namespace Cardamomhill
{

namespace
{

/// Small, because an entry host has a connection to each server of its failure domain (336 at the target size).
constexpr std::size_t ReadBufferBytes = 16 * 1024;

} // namespace

FramedConnection::FramedConnection(tcp::socket socket)
    : m_socket(std::move(socket))
    , m_readBuffer(ReadBufferBytes)
    , m_lastReceiveTime(steadyNow())
{
    SystemError ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
}

void FramedConnection::start(MessageHandler onMessage, CloseHandler onClose)
{
    setHandlers(std::move(onMessage), std::move(onClose));
    spawn(m_socket.get_executor(), "framed-read", runReadLoop(shared_from_this()));
}

void FramedConnection::setHandlers(MessageHandler onMessage, CloseHandler onClose)
{
    m_onMessage = std::move(onMessage);
    m_onClose = std::move(onClose);
}

void FramedConnection::send(const Message &message)
{
    if (!m_isOpen) {
        return;
    }
    m_queuedBytes += encodeFramed(message);
    if (m_isWriting) {
        return;
    }
    m_isWriting = true;
    spawn(m_socket.get_executor(), "framed-write", runWriteLoop(shared_from_this()));
}

void FramedConnection::close(const NetError &reason)
{
    if (!m_isOpen) {
        return;
    }
    m_isOpen = false;
    SystemError ignored;
    m_socket.close(ignored);
    m_onMessage = nullptr;
    // Moved out of the member, so that the handler and its captures live until it returns, whatever it releases.
    const auto onClose = std::exchange(m_onClose, nullptr);
    if (onClose) {
        onClose(reason);
    }
}

bool FramedConnection::isOpen() const
{
    return m_isOpen;
}

SteadyTime FramedConnection::lastReceiveTime() const
{
    return m_lastReceiveTime;
}

Task<> FramedConnection::runReadLoop(std::shared_ptr<FramedConnection> self)
{
    co_await self->readLoop();
}

Task<> FramedConnection::runWriteLoop(std::shared_ptr<FramedConnection> self)
{
    co_await self->writeLoop();
}

Task<> FramedConnection::readLoop()
{
    while (m_isOpen) {
        SystemError error;
        const std::size_t count = co_await m_socket.async_read_some(asio::buffer(m_readBuffer), storeError(error));
        if (error) {
            close({error == asio::error::eof ? NetErrorCode::Closed : NetErrorCode::ReadFailed, error.message()});
            co_return;
        }
        m_lastReceiveTime = steadyNow();
        m_receivedBytes.append(m_readBuffer.data(), count);
        if (!dispatchMessages()) {
            co_return;
        }
    }
}

bool FramedConnection::dispatchMessages()
{
    std::size_t position = 0;
    while (m_isOpen && m_receivedBytes.size() - position >= LengthPrefixBytes) {
        const std::string_view rest = std::string_view(m_receivedBytes).substr(position);
        const auto length = decodeLength(rest);
        if (length.has_error()) {
            close({NetErrorCode::MalformedMessage, length.error().message()});
            return false;
        }
        if (rest.size() < LengthPrefixBytes + length.value()) {
            break;
        }
        auto message = decodeMessage(rest.substr(LengthPrefixBytes, length.value()));
        if (message.has_error()) {
            close({NetErrorCode::MalformedMessage, message.error().message()});
            return false;
        }
        position += LengthPrefixBytes + length.value();
        // Copied, because the handler may call close(), which destroys m_onMessage.
        const auto handler = m_onMessage;
        handler(std::move(message.value()));
    }
    m_receivedBytes.erase(0, position);
    return m_isOpen;
}

Task<> FramedConnection::writeLoop()
{
    while (m_isOpen && !m_queuedBytes.empty()) {
        m_writtenBytes = std::exchange(m_queuedBytes, std::string());
        SystemError error;
        co_await asio::async_write(m_socket, asio::buffer(m_writtenBytes), storeError(error));
        m_writtenBytes.clear();
        if (error) {
            close({NetErrorCode::WriteFailed, error.message()});
        }
    }
    m_isWriting = false;
}

} // namespace Cardamomhill
