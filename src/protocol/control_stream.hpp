#pragma once

#include "protocol/message_reader.hpp"
#include "transport/session.hpp"
#include "wire/wire.pb.h"

#include <functional>
#include <memory>

namespace chivewinch::protocol {

/** Server side of the control stream of one connection. */
class ControlStream final : public transport::StreamObserver, public std::enable_shared_from_this<ControlStream> {
public:
    using MessageHandler = std::function<void(ControlStream&, const wire::Control&)>;
    using CloseHandler = std::function<void(const std::shared_ptr<ControlStream>&)>;

    ControlStream(std::shared_ptr<transport::Session> session, transport::StreamId stream, MessageHandler onMessage,
        CloseHandler onClosed);

    void send(const wire::Control& message);

    void onData(std::string_view bytes) override;
    void onEnd() override { this->session->reset(this->stream); }
    void onClose(const transport::Error& error) override;

    /** Hello message of the peer; empty until it is set. */
    [[nodiscard]] const wire::Hello& peer() const noexcept { return this->hello; }
    void setPeer(const wire::Hello& message) { this->hello = message; }
    [[nodiscard]] const transport::Session* connection() const noexcept { return this->session.get(); }

private:
    std::shared_ptr<transport::Session> session;
    transport::StreamId stream;
    MessageHandler messageHandler;
    CloseHandler closeHandler;
    MessageReader reader;
    wire::Hello hello;
};

} // namespace chivewinch::protocol
