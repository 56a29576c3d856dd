#include "http/client.hpp"

#include "http/status.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace chivewinch::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;

namespace internal {

constexpr auto awaitResult = asio::as_tuple(asio::use_awaitable);
constexpr int probeAttempts = 2;

// Time within which the connections of a process that is ending are closed.
constexpr std::chrono::milliseconds probeSettleTime { 20 };
constexpr std::size_t readChunkBytes = 16U << 10;

// Subtracted from the idle timeout that a server states: a request that is sent just before the server closes the
// connection would be lost.
constexpr std::chrono::milliseconds keepAliveMargin { 1'000 };

/** Idle timeout from "timeout=SECONDS" in a Keep-Alive header, minus the margin; nullopt if the header has none. */
std::optional<std::chrono::milliseconds> parseKeepAliveTimeout(std::string_view keepAlive)
{
    constexpr std::string_view name = "timeout=";
    const auto found = keepAlive.find(name);
    if (found == std::string_view::npos)
        return std::nullopt;
    const auto digits = keepAlive.substr(found + name.size());
    unsigned seconds = 0;
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc {})
        return std::nullopt;
    return std::max(
        std::chrono::milliseconds { std::chrono::seconds { seconds } } - keepAliveMargin, std::chrono::milliseconds {});
}

/**
 * True if an idle connection has neither received bytes nor been closed by the server. Such bytes would not belong to
 * the next request.
 */
bool hasNoPendingInput(Tcp::socket& socket)
{
    beast::error_code error;
    socket.non_blocking(true, error);
    std::array<char, 1> byte {};
    (void)socket.receive(asio::buffer(byte), Tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

/**
 * Makes a close reset the connection and discard unsent bytes. Otherwise, bytes that are delayed by a network
 * interruption would still be delivered after the request was abandoned.
 */
void enableResetOnClose(Tcp::socket& socket)
{
    beast::error_code ignored;
    socket.set_option(asio::socket_base::linger { true, 0 }, ignored);
}

void setUnacknowledgedTimeout(Tcp::socket& socket, std::chrono::milliseconds timeout)
{
    if (timeout.count() <= 0)
        return;
    const auto value = static_cast<unsigned>(timeout.count());
    // The result is ignored: if the option cannot be set, the read timeout still limits an unresponsive connection.
    (void)::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof value);
}

using OutgoingRequest = beast::http::request<beast::http::span_body<const char>, Fields>;

/** The request with a body that it does not own. A body is stated for any method, as the sender may have set one. */
OutgoingRequest withBody(beast::http::request_header<Fields> header, std::string_view body)
{
    using beast::http::verb;
    OutgoingRequest message { std::move(header) };
    message.body() = { body.data(), body.size() };
    const bool expectsBody
        = message.method() == verb::post || message.method() == verb::put || message.method() == verb::options;
    if (!body.empty() || expectsBody)
        message.content_length(body.size());
    else
        message.content_length(boost::none);
    return message;
}

/** Whether a failed read is due to the bytes of the server rather than to the end of its connection. */
ErrorCode readErrorCode(const beast::error_code& error)
{
    namespace http = beast::http;
    const bool isParserError = error.category() == http::make_error_code(http::error::bad_version).category();
    const bool isEnd = error == http::error::end_of_stream || error == http::error::partial_message;
    return isParserError && !isEnd ? ErrorCode::InvalidResponse : ErrorCode::NoResponse;
}

} // namespace internal

struct ResponseStream::State {
    std::unique_ptr<beast::tcp_stream> stream;
    std::weak_ptr<Client::Pool> pool;
    std::shared_ptr<ServerLifetimes> lifetimes;
    EventNumber accepted = 0;
    EventNumber sent = 0;
    bool isKept = false;
    std::size_t maxIdle = 0;
    std::chrono::milliseconds maxIdleTime {};
    std::chrono::milliseconds readTimeout {};
    beast::flat_buffer buffer;
    beast::http::response_parser<beast::http::buffer_body> parser;
    std::array<char, internal::readChunkBytes> chunk {};
    BufferReservation memory; ///< For this object.

    /** Returns the connection to the pool if the complete response was read and no bytes followed it. */
    void release()
    {
        const auto lockedPool = this->pool.lock();
        const auto idleTime = std::min(this->maxIdleTime,
            internal::parseKeepAliveTimeout(view(this->parser.get()["Keep-Alive"])).value_or(this->maxIdleTime));
        // Bytes after the response would be read as the next response on the connection.
        if (this->stream && lockedPool && this->parser.keep_alive() && this->buffer.size() == 0 && idleTime.count() > 0
            && lockedPool->size() < this->maxIdle) {
            this->stream->expires_never();
            lockedPool->push_back({ .stream = std::move(this->stream),
                .usableUntil = std::chrono::steady_clock::now() + idleTime,
                .accepted = this->accepted });
        }
        this->stream.reset();
    }
};

ResponseStream::ResponseStream()
    : state { std::make_unique<State>() }
{
}

ResponseStream::~ResponseStream() = default;

unsigned ResponseStream::status() const { return this->state->parser.get().result_int(); }

std::string_view ResponseStream::header(std::string_view name) const
{
    return view(this->state->parser.get()[beast::string_view { name.data(), name.size() }]);
}

bool ResponseStream::hasHeader(std::string_view name) const
{
    return this->state->parser.get().count(beast::string_view { name.data(), name.size() }) > 0;
}

bool ResponseStream::isOnKeptConnection() const noexcept { return this->state->isKept; }

bool ResponseStream::endsWithConnection() const { return this->state->parser.need_eof(); }

void ResponseStream::recordAnswered() { this->state->lifetimes->record(this->state->accepted, this->state->sent); }

Headers ResponseStream::headers() const
{
    Headers all;
    for (const auto& field : this->state->parser.get())
        all.emplace_back(view(field.name_string()), view(field.value()));
    return all;
}

Task<std::optional<std::string>> ResponseStream::read(Error& reason)
{
    auto& current = *this->state;
    while (!current.parser.is_done()) {
        if (!current.stream) {
            reason = { .code = ErrorCode::NoResponse, .detail = "connection was closed" };
            co_return std::nullopt;
        }
        auto& body = current.parser.get().body();
        body.data = current.chunk.data();
        body.size = current.chunk.size();
        current.stream->expires_after(current.readTimeout);
        const auto [error, bytes] = co_await beast::http::async_read_some(
            *current.stream, current.buffer, current.parser, internal::awaitResult);
        if (error && error != beast::http::error::need_buffer) {
            reason = { .code = internal::readErrorCode(error), .detail = error.message() };
            current.stream.reset();
            co_return std::nullopt;
        }
        const auto filled = current.chunk.size() - current.parser.get().body().size;
        if (filled > 0)
            co_return std::string { current.chunk.data(), filled };
    }
    current.release();
    co_return std::string {};
}

void ResponseStream::setReadTimeout(std::chrono::milliseconds timeout) noexcept { this->state->readTimeout = timeout; }

void ResponseStream::cancel() noexcept
{
    if (this->state->stream)
        this->state->stream->close();
}

Client::Client(asio::any_io_executor executor, ClientOptions options)
    : executor { std::move(executor) }
    , options { std::move(options) }
    , pool { std::make_shared<Pool>() }
    , lifetimes { std::make_shared<ServerLifetimes>() }
{
}

Client::~Client() = default;

void Client::setMaxIdleConnections(std::size_t count)
{
    this->options.maxIdleConnections = count;
    if (this->pool->size() > count)
        this->pool->erase(this->pool->begin(), this->pool->end() - static_cast<std::ptrdiff_t>(count));
}

bool Client::senderRanAt(const ResponseStream& response, EventNumber event) const
{
    return this->lifetimes->isOneProcess(response.state->accepted, event);
}

std::optional<Client::IdleConnection> Client::takeIdle(bool oldest, std::size_t reserved)
{
    while (this->pool->size() > reserved) {
        auto chosen = std::prev(this->pool->end());
        if (oldest)
            chosen = std::ranges::min_element(*this->pool, {}, &IdleConnection::accepted);
        auto idle = std::move(*chosen);
        this->pool->erase(chosen);
        if (std::chrono::steady_clock::now() < idle.usableUntil && internal::hasNoPendingInput(idle.stream->socket()))
            return idle;
    }
    return std::nullopt;
}

void Client::keepIdle(std::unique_ptr<beast::tcp_stream> stream, EventNumber accepted)
{
    stream->expires_never();
    this->pool->push_back({ .stream = std::move(stream),
        .usableUntil = std::chrono::steady_clock::now() + this->options.maxIdleTime,
        .accepted = accepted });
}

Task<void> Client::openWitness()
{
    if (auto oldest = this->takeIdle(true)) {
        this->pool->insert(this->pool->begin(), std::move(*oldest));
        co_return;
    }
    boost::system::error_code error;
    auto stream = co_await this->openConnection(error);
    if (stream)
        this->keepIdle(std::move(stream), this->lifetimes->next());
}

Task<Client::Connection> Client::connect(SendOptions sendOptions, Error& reason)
{
    if (this->keepsWitness && !sendOptions.oldestConnection)
        co_await this->openWitness();
    const std::size_t reserved = this->keepsWitness && !sendOptions.oldestConnection ? 1 : 0;
    if (!sendOptions.freshConnection) {
        if (auto idle = this->takeIdle(sendOptions.oldestConnection, reserved))
            co_return Connection { .stream = std::move(idle->stream), .accepted = idle->accepted, .isKept = true };
    }
    boost::system::error_code error;
    auto stream = co_await this->openConnection(error);
    if (!stream) {
        reason = { .code = ErrorCode::NotSent,
            .detail = "connect " + settings::toString(this->options.server) + ": " + error.message() };
    }
    co_return Connection { .stream = std::move(stream), .accepted = this->lifetimes->next() };
}

Task<std::unique_ptr<beast::tcp_stream>> Client::openConnection(boost::system::error_code& error)
{
    const Tcp::endpoint endpoint { asio::ip::make_address(this->options.server.address, error),
        this->options.server.port };
    if (error)
        co_return nullptr;
    auto stream = std::make_unique<beast::tcp_stream>(this->executor);
    stream->expires_after(this->options.connectTimeout);
    const auto [connectError] = co_await stream->async_connect(endpoint, internal::awaitResult);
    if (connectError) {
        error = connectError;
        co_return nullptr;
    }
    beast::error_code ignored;
    stream->socket().set_option(Tcp::no_delay { true }, ignored);
    internal::enableResetOnClose(stream->socket());
    internal::setUnacknowledgedTimeout(stream->socket(), this->options.unacknowledgedTimeout);
    co_return stream;
}

Task<ServerState> Client::probe()
{
    // A process that is ending can still accept a connection before its listening socket is closed. The second
    // connection shows it.
    for (int attempt = 0; attempt < internal::probeAttempts; ++attempt) {
        boost::system::error_code error;
        auto stream = co_await this->openConnection(error);
        if (error == asio::error::connection_refused)
            co_return ServerState::Refuses;
        if (!stream)
            co_return ServerState::Unknown;
        const auto accepted = this->lifetimes->next();
        stream->expires_never();
        asio::steady_timer timer { this->executor, internal::probeSettleTime };
        (void)co_await timer.async_wait(internal::awaitResult);
        if (!internal::hasNoPendingInput(stream->socket()))
            continue;
        if (this->pool->size() < this->options.maxIdleConnections)
            this->keepIdle(std::move(stream), accepted);
        co_return ServerState::Accepts;
    }
    co_return ServerState::Unknown;
}

Task<std::unique_ptr<ResponseStream>> Client::open(Request request, SendOptions sendOptions, Error& reason)
{
    auto connection = co_await this->connect(sendOptions, reason);
    auto& stream = connection.stream;
    if (!stream)
        co_return nullptr;
    if (request.count(beast::http::field::host) == 0)
        request.set(beast::http::field::host, settings::toString(this->options.server));
    const auto body = sendOptions.body.value_or(request.body());
    const auto message = internal::withBody(std::move(request.base()), body);

    auto result = std::make_unique<ResponseStream>();
    auto& current = *result->state;
    current.memory = BufferReservation { this->options.buffers };
    if (!current.memory.growTo(sizeof(ResponseStream::State) + request.body().size())) {
        reason = { .code = ErrorCode::NotSent, .detail = "no memory for the request" };
        co_return nullptr;
    }
    current.isKept = connection.isKept;
    current.lifetimes = this->lifetimes;
    current.accepted = connection.accepted;
    current.sent = this->lifetimes->next();
    current.readTimeout = sendOptions.readTimeout.value_or(this->options.readTimeout);
    current.maxIdle = this->options.maxIdleConnections;
    current.maxIdleTime = this->options.maxIdleTime;
    current.pool = this->pool;
    current.parser.body_limit(boost::none);
    current.parser.header_limit(this->options.maxHeadBytes);
    // The parser does not limit the chunk headers and trailers of a chunked body, so the buffer size does.
    current.buffer.max_size(this->options.maxHeadBytes + internal::readChunkBytes);

    Cancellation noCancellation;
    auto& cancellation = sendOptions.cancellation != nullptr ? *sendOptions.cancellation : noCancellation;
    if (cancellation.isCancelled) {
        reason = { .code = ErrorCode::NotSent, .detail = "cancelled" };
        co_return nullptr;
    }
    cancellation.stream = stream.get();
    const auto detachCancellation = [&cancellation] { cancellation.stream = nullptr; };
    stream->expires_after(current.readTimeout);
    const auto [writeError, written] = co_await beast::http::async_write(*stream, message, internal::awaitResult);
    if (writeError) {
        detachCancellation();
        reason = { .code = written == 0 ? ErrorCode::NotSent : ErrorCode::NoResponse,
            .detail = "write: " + writeError.message() };
        co_return nullptr;
    }
    const auto [readError, read]
        = co_await beast::http::async_read_header(*stream, current.buffer, current.parser, internal::awaitResult);
    detachCancellation();
    if (readError) {
        reason = { .code = internal::readErrorCode(readError), .detail = "read: " + readError.message() };
        co_return nullptr;
    }
    if (!status::isValid(result->status())) {
        reason = { .code = ErrorCode::InvalidResponse,
            .detail = "status " + std::to_string(result->status()) + " is invalid" };
        co_return nullptr;
    }
    current.stream = std::move(stream);
    co_return result;
}

Task<std::optional<Response>> Client::send(Request request, SendOptions sendOptions, Error& reason)
{
    const auto readTimeout = sendOptions.readTimeout.value_or(this->options.readTimeout);
    const auto deadline = std::chrono::steady_clock::now() + readTimeout * this->options.responseTimeoutFactor;
    const auto stream = co_await this->open(std::move(request), sendOptions, reason);
    if (!stream)
        co_return std::nullopt;
    Response response { .status = stream->status(), .contentType = std::string { stream->header("Content-Type") } };
    BufferReservation memory { this->options.buffers };
    while (true) {
        const auto remaining
            = std::chrono::floor<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
        stream->setReadTimeout(std::clamp(remaining, std::chrono::milliseconds { 0 }, readTimeout));
        auto bytes = co_await stream->read(reason);
        if (!bytes)
            co_return std::nullopt;
        if (bytes->empty())
            co_return response;
        const auto size = response.body.size() + bytes->size();
        if (size > this->options.maxBodyBytes) {
            reason = { .code = ErrorCode::InvalidResponse, .detail = "the response is too long" };
            co_return std::nullopt;
        }
        if (!memory.growTo(size)) {
            reason = { .code = ErrorCode::NoMemory, .detail = "no memory for the response" };
            co_return std::nullopt;
        }
        response.body += *bytes;
    }
}

Request makeRequest(std::string_view method, std::string_view target, std::string body, std::string_view contentType)
{
    Request request { beast::http::string_to_verb({ method.data(), method.size() }),
        beast::string_view { target.data(), target.size() }, 11 };
    if (!body.empty())
        request.set(beast::http::field::content_type, beast::string_view { contentType.data(), contentType.size() });
    request.body() = std::move(body);
    return request;
}

} // namespace chivewinch::http
