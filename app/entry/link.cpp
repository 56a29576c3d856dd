#include "entry/link.hpp"

#include "logging/event.hpp"
#include "protocol/convert.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace chivewinch::entry {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/** Receives the replies of one attempt. */
class Link::AttemptStream final : public transport::StreamObserver {
public:
    AttemptStream(std::weak_ptr<Link> link, base::AttemptId attempt, std::shared_ptr<RequestChannel> channel)
        : link { std::move(link) }
        , attempt { attempt }
        , channel { std::move(channel) }
    {
    }

    void onData(std::string_view bytes) override
    {
        const bool valid
            = this->reader.read<wire::AttemptReply>(bytes, [this](wire::AttemptReply& reply, std::size_t size) {
                  this->channel->push(ReplyReceived { .reply = std::move(reply), .bytes = size });
              });
        const auto owner = this->link.lock();
        if (!valid && owner && owner->session) {
            logging::Event { "malformed_message" }.field("stream", "attempt").warning();
            owner->session->close();
        }
    }

    void onEnd() override { }

    void onClose(const transport::Error&) override
    {
        bool written = true;
        if (const auto owner = this->link.lock()) {
            const auto found = owner->attempts.find(this->attempt);
            if (found != owner->attempts.end()) {
                written = !owner->session || owner->session->mayHaveBeenSent(found->second);
                owner->attempts.erase(found);
            }
        }
        this->channel->push(AttemptClosed { .attempt = this->attempt, .written = written });
    }

private:
    std::weak_ptr<Link> link;
    base::AttemptId attempt;
    std::shared_ptr<RequestChannel> channel;
    protocol::MessageReader reader;
};

/** Receives the control messages of a connection. */
class Link::ControlStream final : public transport::StreamObserver {
public:
    explicit ControlStream(std::weak_ptr<Link> link)
        : link { std::move(link) }
    {
    }

    void onData(std::string_view bytes) override
    {
        const auto owner = this->link.lock();
        if (!owner || !owner->session)
            return;
        owner->session->consume(owner->control, bytes.size());
        const bool valid = this->reader.read<wire::Control>(
            bytes, [&owner](const wire::Control& message, std::size_t) { owner->handlers.onControl(message); });
        if (!valid) {
            logging::Event { "malformed_message" }.field("stream", "control").warning();
            owner->session->close();
        }
    }

    void onEnd() override { this->closeSession(); }
    void onClose(const transport::Error&) override { this->closeSession(); }

private:
    std::weak_ptr<Link> link;
    protocol::MessageReader reader;

    void closeSession()
    {
        // A connection without its control stream gets no heartbeats, so it is closed.
        const auto owner = this->link.lock();
        if (owner && owner->session && !owner->session->closed())
            owner->session->close();
    }
};

Link::Link(const asio::any_io_executor& executor, LinkOptions options, LinkHandlers handlers)
    : strand { asio::make_strand(executor) }
    , options { std::move(options) }
    , handlers { std::move(handlers) }
    , timer { this->strand }
    , heartbeatTimer { this->strand }
    , reconnectDelay { this->options.minReconnectDelay }
{
}

void Link::start()
{
    asio::post(this->strand, [self = this->shared_from_this()] { self->connect(); });
}

void Link::stop()
{
    asio::post(this->strand, [self = this->shared_from_this()] {
        self->stopped = true;
        self->timer.cancel();
        self->heartbeatTimer.cancel();
        if (self->session)
            self->session->close();
    });
}

void Link::connect()
{
    if (!this->stopped)
        asio::co_spawn(this->strand, this->connectOnce(this->shared_from_this()), asio::detached);
}

http::Task<void> Link::connectOnce(std::shared_ptr<Link> self)
{
    // The parameter keeps this object alive until the coroutine completes.
    (void)self;
    const auto socket = std::make_shared<Tcp::socket>(this->strand);
    const Tcp::endpoint endpoint { asio::ip::make_address(this->options.endpoint.address),
        this->options.endpoint.port };
    this->timer.expires_after(this->options.connectTimeout);
    this->timer.async_wait([socket](const boost::system::error_code& error) {
        boost::system::error_code ignored;
        if (!error)
            socket->close(ignored);
    });
    const auto [error] = co_await socket->async_connect(endpoint, asio::as_tuple(asio::use_awaitable));
    // If the timer has expired, its handler may still be queued and closes this socket later. The socket is not used
    // then.
    const bool timedOut = this->timer.cancel() == 0;
    if (error || timedOut || this->stopped) {
        this->reconnectLater();
        co_return;
    }
    this->connected(std::move(*socket));
}

void Link::connected(Tcp::socket socket)
{
    this->reconnectDelay = this->options.minReconnectDelay;
    this->session = transport::Session::client(
        std::move(socket), {}, [weak = this->weak_from_this()](const transport::Error& error) {
            logging::Event { "link_closed" }.field("detail", error.detail).debug();
            if (const auto self = weak.lock())
                self->disconnected();
        });
    this->session->start();
    this->control = this->session->open(protocol::controlPath, std::make_shared<ControlStream>(this->weak_from_this()));
    this->sendNow(this->handlers.makeHello());
    this->handlers.onConnected();
    this->scheduleHeartbeat();
}

void Link::disconnected()
{
    this->heartbeatTimer.cancel();
    this->session.reset();
    this->attempts.clear();
    this->handlers.onDisconnected();
    this->reconnectLater();
}

void Link::reconnectLater()
{
    if (this->stopped)
        return;
    this->timer.expires_after(this->reconnectDelay);
    this->reconnectDelay = std::min(2 * this->reconnectDelay, this->options.maxReconnectDelay);
    this->timer.async_wait([weak = this->weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self)
            self->connect();
    });
}

void Link::scheduleHeartbeat()
{
    this->heartbeatTimer.expires_after(this->options.heartbeatInterval);
    this->heartbeatTimer.async_wait([weak = this->weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (error || !self || !self->session)
            return;
        self->sendNow(self->handlers.makeHeartbeat());
        self->scheduleHeartbeat();
    });
}

void Link::sendNow(const wire::Control& message)
{
    if (this->session)
        this->session->send(this->control, wire::frame(message));
}

void Link::send(wire::Control message)
{
    asio::post(
        this->strand, [self = this->shared_from_this(), message = std::move(message)] { self->sendNow(message); });
}

void Link::startAttempt(wire::AttemptStart message, std::shared_ptr<RequestChannel> channel)
{
    asio::post(
        this->strand, [self = this->shared_from_this(), message = std::move(message), channel = std::move(channel)] {
            const auto attempt = protocol::toAttemptId(message.attempt());
            auto observer = std::make_shared<AttemptStream>(self->weak_from_this(), attempt, channel);
            const auto stream = self->session ? self->session->open(protocol::attemptPath, observer) : 0;
            if (stream == 0) {
                channel->push(AttemptClosed { .attempt = attempt, .written = false, .connected = false });
                return;
            }
            self->attempts.emplace(attempt, stream);
            self->session->send(stream, wire::frame(message));
            self->session->finish(stream);
        });
}

void Link::cancelAttempt(const wire::Cancel& message)
{
    asio::post(this->strand, [self = this->shared_from_this(), message] {
        const auto found = self->attempts.find(protocol::toAttemptId(message.attempt()));
        if (!self->session)
            return;
        if (found != self->attempts.end())
            self->session->reset(found->second);
        wire::Control control;
        *control.mutable_cancel() = message;
        self->sendNow(control);
    });
}

void Link::consume(base::AttemptId attempt, std::size_t bytes)
{
    asio::post(this->strand, [self = this->shared_from_this(), attempt, bytes] {
        const auto found = self->attempts.find(attempt);
        if (self->session && found != self->attempts.end())
            self->session->consume(found->second, bytes);
    });
}

} // namespace chivewinch::entry
