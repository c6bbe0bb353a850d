#include "net/framedconnection.h"

#include "net/spawn.h"
#include "net/steadynow.h"
#include "wire/messagecodec.h"

#include <boost/asio/write.hpp>

namespace Cardamomhill
{

namespace
{

/// An entry host has a connection to each server of its failure domain (336 at the target size), so this is kept small.
constexpr std::size_t ReadChunkBytes = 16 * 1024;

} // namespace

FramedConnection::FramedConnection(tcp::socket socket)
    : m_socket(std::move(socket))
    , m_chunk(ReadChunkBytes)
    , m_lastReceived(steadyNow())
{
    SystemError ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
}

void FramedConnection::start(MessageHandler onMessage, CloseHandler onClose)
{
    setHandlers(std::move(onMessage), std::move(onClose));
    spawn(m_socket.get_executor(), "framed-read", readShared(shared_from_this()));
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
    m_queued += encodeFramed(message);
    if (m_isWriting) {
        return;
    }
    m_isWriting = true;
    spawn(m_socket.get_executor(), "framed-write", writeShared(shared_from_this()));
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
    // The handler may drop the last reference to its own captures, so it is moved out first.
    const auto onClose = std::exchange(m_onClose, nullptr);
    if (onClose) {
        onClose(reason);
    }
}

bool FramedConnection::isOpen() const
{
    return m_isOpen;
}

SteadyTime FramedConnection::lastReceived() const
{
    return m_lastReceived;
}

Task<> FramedConnection::readShared(std::shared_ptr<FramedConnection> self)
{
    co_await self->readLoop();
}

Task<> FramedConnection::writeShared(std::shared_ptr<FramedConnection> self)
{
    co_await self->writeLoop();
}

Task<> FramedConnection::readLoop()
{
    while (m_isOpen) {
        SystemError error;
        const std::size_t count = co_await m_socket.async_read_some(asio::buffer(m_chunk), storeError(error));
        if (error) {
            close({error == asio::error::eof ? NetErrorCode::Closed : NetErrorCode::ReadFailed, error.message()});
            co_return;
        }
        m_lastReceived = steadyNow();
        m_received.append(m_chunk.data(), count);
        if (!handleBytes()) {
            co_return;
        }
    }
}

bool FramedConnection::handleBytes()
{
    std::size_t position = 0;
    while (m_isOpen && m_received.size() - position >= LengthPrefixBytes) {
        const std::string_view rest = std::string_view(m_received).substr(position);
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
        // A copy keeps the handler alive when it closes this connection.
        const auto handler = m_onMessage;
        handler(std::move(message.value()));
    }
    m_received.erase(0, position);
    return m_isOpen;
}

Task<> FramedConnection::writeLoop()
{
    while (m_isOpen && !m_queued.empty()) {
        m_writing = std::exchange(m_queued, std::string());
        SystemError error;
        co_await asio::async_write(m_socket, asio::buffer(m_writing), storeError(error));
        m_writing.clear();
        if (error) {
            close({NetErrorCode::WriteFailed, error.message()});
        }
    }
    m_isWriting = false;
}

} // namespace Cardamomhill
