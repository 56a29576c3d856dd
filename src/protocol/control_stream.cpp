#include "protocol/control_stream.hpp"

#include "logging/event.hpp"

#include <utility>

namespace chivewinch::protocol {

ControlStream::ControlStream(std::shared_ptr<transport::Session> session, transport::StreamId stream,
    MessageHandler onMessage, CloseHandler onClosed)
    : session { std::move(session) }
    , stream { stream }
    , messageHandler { std::move(onMessage) }
    , closeHandler { std::move(onClosed) }
{
}

void ControlStream::send(const wire::Control& message) { this->session->send(this->stream, wire::frame(message)); }

void ControlStream::onData(std::string_view bytes)
{
    this->session->consume(this->stream, bytes.size());
    const bool valid = this->reader.read<wire::Control>(
        bytes, [this](const wire::Control& message, std::size_t) { this->messageHandler(*this, message); });
    if (!valid) {
        logging::Event { "malformed_message" }.field("stream", "control").warning();
        this->session->close();
    }
}

void ControlStream::onClose(const transport::Error&)
{
    // The handlers own references to the agent's tables. Releasing the handlers breaks the reference cycle through the
    // session.
    const auto handler = std::exchange(this->closeHandler, nullptr);
    this->messageHandler = nullptr;
    if (handler)
        handler(this->shared_from_this());
}

} // namespace chivewinch::protocol
