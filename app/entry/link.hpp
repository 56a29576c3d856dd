#pragma once

#include "entry/request_channel.hpp"
#include "protocol/message_reader.hpp"
#include "settings/value_type.hpp"
#include "transport/session.hpp"
#include "wire/wire.pb.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace chivewinch::entry {

/** Callbacks of a link, called on the strand of the link. */
struct LinkHandlers {
    std::function<void(const wire::Control&)> onControl;
    std::function<void()> onConnected;
    std::function<void()> onDisconnected;
    /** Build the messages to send after connecting and at each heartbeat interval. */
    std::function<wire::Control()> makeHello;
    std::function<wire::Control()> makeHeartbeat;
};

struct LinkOptions {
    settings::Endpoint endpoint;
    std::chrono::milliseconds heartbeatInterval { std::chrono::seconds { 1 } };
    std::chrono::milliseconds connectTimeout { std::chrono::seconds { 1 } };
    std::chrono::milliseconds minReconnectDelay { 50 };
    std::chrono::milliseconds maxReconnectDelay { std::chrono::seconds { 2 } };
};

/** Persistent connection to one agent or peer, which reconnects after a failure. Public functions are thread-safe. */
class Link : public std::enable_shared_from_this<Link> {
public:
    Link(const boost::asio::any_io_executor& executor, LinkOptions options, LinkHandlers handlers);

    void start();
    void stop();

    /** Opens the stream of an attempt; its replies and its end are pushed to the channel. */
    void startAttempt(wire::AttemptStart message, std::shared_ptr<RequestChannel> channel);
    /** Resets the stream and sends a cancel message, so that the agent refuses an attempt that arrives later. */
    void cancelAttempt(const wire::Cancel& message);
    /** Returns `bytes` of receive window to the stream of the attempt. */
    void consume(base::AttemptId attempt, std::size_t bytes);
    void send(wire::Control message);

private:
    class AttemptStream;
    class ControlStream;

    boost::asio::any_io_executor strand;
    LinkOptions options;
    LinkHandlers handlers;
    std::shared_ptr<transport::Session> session;
    transport::StreamId control = 0;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer heartbeatTimer;
    std::chrono::milliseconds reconnectDelay;
    std::map<base::AttemptId, transport::StreamId> attempts;
    bool stopped = false;

    void connect();
    [[nodiscard]] http::Task<void> connectOnce(std::shared_ptr<Link> self);
    void connected(boost::asio::ip::tcp::socket socket);
    void disconnected();
    void reconnectLater();
    void scheduleHeartbeat();
    void sendNow(const wire::Control& message);
};

} // namespace chivewinch::entry
