#include "transport/session.hpp"

#include "transport/internal/http2_callbacks.hpp"
#include "transport/internal/stream.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <nghttp2/nghttp2.h>

#include <stdexcept>
#include <utility>

namespace chivewinch::transport {

namespace asio = boost::asio;

namespace internal {

// Received bytes are returned to the connection window immediately, so it only has to cover one round trip.
constexpr std::int32_t connectionWindowBytes = 4 << 20;

// Limits the size of one write, so that a busy session does not occupy the executor for long.
constexpr std::size_t maxWriteBytes = 256U << 10;

nghttp2_nv header(std::string_view name, std::string_view value)
{
    // nghttp2 copies names and values; its API uses non-const pointers for historical reasons.
    auto* nameBytes = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data()));
    auto* valueBytes = reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
    return { nameBytes, valueBytes, name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
}

} // namespace internal

std::shared_ptr<Session> Session::client(
    asio::ip::tcp::socket socket, const SessionOptions& options, CloseHandler onClose)
{
    std::shared_ptr<Session> session { new Session { std::move(socket), options, false } };
    session->closeHandler = std::move(onClose);
    session->initialise();
    return session;
}

std::shared_ptr<Session> Session::server(
    asio::ip::tcp::socket socket, const SessionOptions& options, AcceptHandler onAccept, CloseHandler onClose)
{
    std::shared_ptr<Session> session { new Session { std::move(socket), options, true } };
    session->acceptHandler = std::move(onAccept);
    session->closeHandler = std::move(onClose);
    session->initialise();
    return session;
}

Session::Session(asio::ip::tcp::socket socket, const SessionOptions& options, bool isServer)
    : socket { std::move(socket) }
    , idleTimer { this->socket.get_executor() }
    , options { options }
    , isServer { isServer }
{
}

Session::~Session() { nghttp2_session_del(this->http2); }

void Session::initialise()
{
    this->http2 = Callbacks::makeSession(*this, this->isServer);
    if (this->http2 == nullptr)
        throw std::runtime_error { "nghttp2 session could not be created" };
    const nghttp2_settings_entry settings[] = {
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, this->options.maxConcurrentStreams },
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, this->options.streamWindowBytes },
    };
    nghttp2_submit_settings(this->http2, NGHTTP2_FLAG_NONE, settings, std::size(settings));
    nghttp2_session_set_local_window_size(this->http2, NGHTTP2_FLAG_NONE, 0, internal::connectionWindowBytes);
}

void Session::start()
{
    boost::system::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay { true }, ignored);
    this->armIdleTimer();
    this->read();
    this->scheduleFlush();
}

StreamId Session::open(std::string_view path, std::shared_ptr<StreamObserver> observer)
{
    if (this->isClosed)
        return 0;
    const nghttp2_nv headers[] = {
        internal::header(":method", "POST"),
        internal::header(":scheme", "http"),
        internal::header(":authority", "chivewinch"),
        internal::header(":path", path),
    };
    const auto provider = Callbacks::dataProvider();
    const auto id = nghttp2_submit_request(this->http2, nullptr, headers, std::size(headers), &provider, nullptr);
    if (id <= 0)
        return 0;
    this->streams.emplace(id, std::make_unique<Stream>(std::move(observer)));
    this->scheduleFlush();
    return id;
}

bool Session::send(StreamId stream, std::string_view bytes)
{
    auto* found = this->find(stream);
    if (found == nullptr || found->finished)
        return false;
    found->queue.append(bytes);
    nghttp2_session_resume_data(this->http2, stream);
    this->scheduleFlush();
    return true;
}

void Session::finish(StreamId stream)
{
    auto* found = this->find(stream);
    if (found == nullptr || found->finished)
        return;
    found->finished = true;
    nghttp2_session_resume_data(this->http2, stream);
    this->scheduleFlush();
}

void Session::reset(StreamId stream)
{
    if (this->find(stream) == nullptr)
        return;
    nghttp2_submit_rst_stream(this->http2, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
    this->scheduleFlush();
}

void Session::consume(StreamId stream, std::size_t bytes)
{
    if (this->isClosed || this->find(stream) == nullptr)
        return;
    nghttp2_session_consume_stream(this->http2, stream, bytes);
    this->scheduleFlush();
}

bool Session::mayHaveBeenSent(StreamId stream) const
{
    const auto* found = this->find(stream);
    return found == nullptr || found->sentAny;
}

std::size_t Session::queuedBytes(StreamId stream) const
{
    const auto* found = this->find(stream);
    return found == nullptr ? 0 : found->pending();
}

void Session::read()
{
    this->socket.async_read_some(asio::buffer(this->readBuffer),
        [self = this->shared_from_this()](
            const boost::system::error_code& error, std::size_t bytes) { self->onRead(error, bytes); });
}

void Session::onRead(const boost::system::error_code& error, std::size_t bytes)
{
    if (this->isClosed)
        return;
    if (error) {
        this->fail({ .code = ErrorCode::ConnectionLost, .detail = error.message() });
        return;
    }
    this->armIdleTimer();
    const auto* data = reinterpret_cast<const std::uint8_t*>(this->readBuffer.data());
    const auto consumed = nghttp2_session_mem_recv(this->http2, data, bytes);
    if (this->isClosed)
        return;
    if (consumed < 0) {
        this->fail({ .code = ErrorCode::Protocol, .detail = nghttp2_strerror(static_cast<int>(consumed)) });
        return;
    }
    this->scheduleFlush();
    this->read();
}

void Session::scheduleFlush()
{
    if (this->isClosed || this->writing || this->flushPending)
        return;
    // The flush is posted, so that one write covers all sends of a handler.
    this->flushPending = true;
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
        self->flushPending = false;
        self->flush();
    });
}

void Session::flush()
{
    if (this->isClosed || this->writing)
        return;
    this->writeBuffer.clear();
    while (this->writeBuffer.size() < internal::maxWriteBytes) {
        const std::uint8_t* data = nullptr;
        const auto length = nghttp2_session_mem_send(this->http2, &data);
        if (length < 0) {
            this->fail({ .code = ErrorCode::Protocol, .detail = nghttp2_strerror(static_cast<int>(length)) });
            return;
        }
        if (length == 0)
            break;
        this->writeBuffer.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(length));
    }
    if (this->writeBuffer.empty()) {
        if (nghttp2_session_want_read(this->http2) == 0 && nghttp2_session_want_write(this->http2) == 0)
            this->fail({ .code = ErrorCode::Protocol, .detail = "peer ended the HTTP/2 session" });
        return;
    }
    this->writing = true;
    asio::async_write(this->socket, asio::buffer(this->writeBuffer),
        [self = this->shared_from_this()](
            const boost::system::error_code& error, std::size_t) { self->onWritten(error); });
}

void Session::onWritten(const boost::system::error_code& error)
{
    this->writing = false;
    if (this->isClosed)
        return;
    if (error) {
        this->fail({ .code = ErrorCode::ConnectionLost, .detail = error.message() });
        return;
    }
    this->flush();
    std::vector<std::shared_ptr<StreamObserver>> writable;
    for (const auto& [id, stream] : this->streams) {
        if (stream->wasAboveLowWater && stream->pending() < this->options.lowWaterBytes) {
            stream->wasAboveLowWater = false;
            writable.push_back(stream->observer);
        }
    }
    for (const auto& observer : writable)
        observer->onWritable();
}

void Session::armIdleTimer()
{
    this->idleTimer.expires_after(this->options.idleTimeout);
    this->idleTimer.async_wait([weak = this->weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (error || !self || self->isClosed || self->idleTimer.expiry() > asio::steady_timer::clock_type::now())
            return;
        self->fail({ .code = ErrorCode::IdleTimeout, .detail = "nothing received within the idle timeout" });
    });
}

void Session::fail(const Error& error)
{
    if (this->isClosed)
        return;
    this->isClosed = true;
    this->idleTimer.cancel();
    boost::system::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
    this->notifyClosed(error);
}

void Session::notifyClosed(const Error& error)
{
    const auto self = this->shared_from_this();
    // The streams stay in the map during onClose, so that mayHaveBeenSent still returns the state of each stream.
    for (auto& [id, stream] : this->streams) {
        if (auto observer = std::exchange(stream->observer, nullptr))
            observer->onClose(error);
    }
    if (auto handler = std::exchange(this->closeHandler, nullptr))
        handler(error);
    this->acceptHandler = nullptr;
}

void Session::closeStream(StreamId stream, const Error& error)
{
    const auto found = this->streams.find(stream);
    if (found == this->streams.end())
        return;
    if (auto observer = std::exchange(found->second->observer, nullptr))
        observer->onClose(error);
    this->streams.erase(stream);
}

Session::Stream* Session::find(StreamId stream) const
{
    const auto found = this->streams.find(stream);
    return found == this->streams.end() ? nullptr : found->second.get();
}

} // namespace chivewinch::transport
