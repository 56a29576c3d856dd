#include "http/server.hpp"

#include "base/hash.hpp"
#include "http/listen.hpp"
#include "http/request_parser.hpp"
#include "http/retry_after.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <exception>
#include <string_view>
#include <utility>
#include <vector>

namespace chivewinch::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;

namespace internal {

// During a drain, a new connection waits this long for its first byte. A caller that has connected usually sends its
// request within a round trip.
constexpr std::chrono::milliseconds drainFirstByteTimeout { 200 };

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

// Delay after a failed accept, for instance if the process has no free file descriptors.
constexpr std::chrono::milliseconds acceptRetryDelay { 50 };

struct RequestFailureInfo {
    std::string_view name;
    unsigned status;
    std::string_view message;
};

constexpr std::array<RequestFailureInfo, static_cast<std::size_t>(RequestFailure::Count)> requestFailureInfos { {
    { "malformed", 400, "the request is not valid HTTP/1.1" },
    { "header_too_large", 431, "the request header is too large" },
    { "body_too_large", 413, "the request body is too large" },
    { "too_slow", 0, "" },
    { "too_many_connections", 503, "too many connections" },
    { "no_memory", 503, "the server has no memory for the request" },
    { "shed", 0, "" },
    { "handler_failed", 500, "" },
} };

// Buffer size for the first read. It bounds the memory of an idle connection; the buffer grows for the rest of a
// request.
constexpr std::size_t firstReadBytes = 4U << 10;

constexpr unsigned version11 = 11;

using Clock = std::chrono::steady_clock;

// Unfinished requests that are closed at most in order to make room for one request, and the time for each to end.
constexpr int maxShedForRequest = 4;
constexpr std::chrono::milliseconds shedPause { 2 };

// Connections that are chosen in turn to be closed, if a request has arrived on them meanwhile.
constexpr int maxChoices = 3;

std::uint64_t sourceOf(const Tcp::socket& socket)
{
    beast::error_code error;
    const auto endpoint = socket.remote_endpoint(error);
    return error ? 0 : base::hash64(endpoint.address().to_string());
}

bool hasWholeHead(const beast::flat_buffer& buffer)
{
    const auto data = buffer.cdata();
    return std::string_view { static_cast<const char*>(data.data()), data.size() }.find("\r\n\r\n")
        != std::string_view::npos;
}

// Piece by which the memory of a body without a stated length grows, and largest piece that is read at once.
constexpr std::size_t bodyPieceBytes = 64U << 10;

// Time for which the rest of a refused request is read and discarded. A connection that is closed with unread bytes is
// reset, and its caller could lose the answer.
constexpr std::chrono::milliseconds discardTime { 2'000 };

/**
 * True if the framing and the host of the request are unambiguous: exactly one Host field (RFC 9112, section 3.2), and
 * no transfer coding except chunked (section 6.1). An intermediary could interpret an ambiguous request differently.
 */
bool isUnambiguous(const Request& request)
{
    if (request.version() >= version11 && request.count(beast::http::field::host) != 1)
        return false;
    if (request.count(beast::http::field::transfer_encoding) == 0)
        return true;
    return request.count(beast::http::field::transfer_encoding) == 1
        && beast::iequals(request[beast::http::field::transfer_encoding], "chunked");
}

RequestFailure classify(const beast::error_code& error)
{
    if (error == beast::http::error::header_limit || error == beast::http::error::buffer_overflow)
        return RequestFailure::HeaderTooLarge;
    if (error == beast::http::error::body_limit)
        return RequestFailure::BodyTooLarge;
    if (error == beast::error::timeout)
        return RequestFailure::RequestTimeout;
    return RequestFailure::Malformed;
}

} // namespace internal

std::string_view toString(RequestFailure kind) noexcept
{
    return internal::requestFailureInfos[static_cast<std::size_t>(kind)].name;
}

struct Server::ReceivedRequest {
    Request request;
    BufferReservation memory;
};

struct Server::Connection {
    explicit Connection(Tcp::socket socket)
        : stream { std::move(socket) }
        , source { internal::sourceOf(this->stream.socket()) }
    {
        this->setState(ConnectionState::Idle);
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    const std::uint64_t source;
    std::atomic<ConnectionState> state { ConnectionState::Idle };
    std::atomic<internal::Clock::time_point> since { internal::Clock::time_point {} };
    std::atomic<std::size_t> bytes { 0 }; ///< Memory of the unfinished request.
    WriteProgress writing;
    std::atomic<bool> isShed { false };
    std::atomic<bool> endsAfterRequest { false }; ///< Its place is needed.

    void setState(ConnectionState next)
    {
        this->bytes = 0;
        this->since = internal::Clock::now();
        this->state = next;
    }

    /** A request is being received or served. */
    [[nodiscard]] bool busy() const { return this->state != ConnectionState::Idle; }

    [[nodiscard]] ConnectionView view(internal::Clock::time_point now) const
    {
        const auto since = this->writing.since();
        const bool isBlocked = since && now - *since >= blockedWriteTime && this->state == ConnectionState::Serving;
        return { .source = this->source,
            .state = isBlocked ? ConnectionState::Blocked : this->state.load(),
            .since = isBlocked ? *since : this->since.load(),
            .bytes = this->bytes };
    }
};

Server::Server(const asio::any_io_executor& executor, ServerOptions options, Handler handler,
    RequestFailureHandler onRequestFailure)
    : executor { executor }
    , options { std::move(options) }
    , handler { std::move(handler) }
    , onRequestFailure { std::move(onRequestFailure) }
    , acceptor { asio::make_strand(executor) }
    , limits { .maxHeaderBytes = this->options.maxHeaderBytes,
        .maxBodyBytes = this->options.maxBodyBytes,
        .requestTimeout = this->options.requestTimeout,
        .idleTimeout = this->options.idleTimeout }
{
}

Server::~Server() = default;

std::optional<settings::Endpoint> Server::start()
{
    if (!listen(this->acceptor, this->options.listen, this->reason))
        return std::nullopt;
    const auto bound = this->acceptor.local_endpoint();
    asio::co_spawn(
        this->acceptor.get_executor(), [self = this->shared_from_this()] { return self->accept(); }, asio::detached);
    return settings::Endpoint { .address = bound.address().to_string(), .port = bound.port() };
}

Task<void> Server::accept()
{
    while (!this->draining) {
        auto [error, socket]
            = co_await this->acceptor.async_accept(asio::make_strand(this->executor), internal::awaitTuple);
        if (error && this->draining)
            co_return;
        if (error) {
            asio::steady_timer pause { this->acceptor.get_executor(), internal::acceptRetryDelay };
            co_await pause.async_wait(internal::awaitTuple);
            continue;
        }
        this->startServing(std::move(socket));
    }
}

void Server::startServing(Tcp::socket socket)
{
    auto connection = std::make_shared<Connection>(std::move(socket));
    const auto connectionExecutor = connection->stream.get_executor();
    {
        const std::lock_guard lock { this->connectionsMutex };
        this->activeConnections.insert(connection);
    }
    ++this->connections;
    asio::co_spawn(
        connectionExecutor, [self = this->shared_from_this(), connection] { return self->serve(connection); },
        asio::detached);
}

void Server::acceptPending()
{
    beast::error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error) {
        Tcp::socket socket { asio::make_strand(this->executor) };
        this->acceptor.accept(socket, error);
        if (!error)
            this->startServing(std::move(socket));
    }
}

Task<bool> Server::readFirstBytes(std::shared_ptr<Connection> connection)
{
    const auto current = this->currentLimits();
    auto& buffer = connection->buffer;
    buffer.max_size(current.maxHeaderBytes + internal::firstReadBytes);
    buffer.shrink_to_fit();
    connection->stream.expires_after(
        this->draining ? std::min(internal::drainFirstByteTimeout, current.idleTimeout) : current.idleTimeout);
    const auto [error, bytes] = co_await connection->stream.async_read_some(
        buffer.prepare(std::min<std::size_t>(current.maxHeaderBytes, internal::firstReadBytes)), internal::awaitTuple);
    if (error)
        co_return false;
    buffer.commit(bytes);
    co_return true;
}

Task<std::optional<Server::ReceivedRequest>> Server::readRequest(std::shared_ptr<Connection> connection)
{
    auto& stream = connection->stream;
    // The idle timeout applies until the first byte arrives; the request timeout applies to the rest of the request.
    if (connection->buffer.size() == 0) {
        const bool isRead = co_await this->readFirstBytes(connection);
        if (!isRead)
            co_return std::nullopt;
    }
    // The limits may have changed since the request before.
    const auto current = this->currentLimits();
    RequestParser parser;
    parser.header_limit(current.maxHeaderBytes);
    parser.body_limit(current.maxBodyBytes);
    // Bounds the memory of an unfinished head and the pieces in which a body is read.
    connection->buffer.max_size(
        std::max<std::size_t>(current.maxHeaderBytes + internal::firstReadBytes, connection->buffer.size()));
    connection->setState(ConnectionState::Receiving);
    stream.expires_after(current.requestTimeout);
    ReceivedRequest received { .request = {}, .memory = BufferReservation { this->options.buffers } };
    const auto firstBytes
        = internal::hasWholeHead(connection->buffer) ? connection->buffer.capacity() : connection->buffer.max_size();
    const bool hasMemory = co_await this->reserve(connection, received.memory, firstBytes);
    if (!hasMemory) {
        co_await this->refuse(connection, RequestFailure::NoMemory);
        co_return std::nullopt;
    }
    auto [error, headBytes]
        = co_await beast::http::async_read_header(stream, connection->buffer, parser, internal::awaitTuple);
    const auto headMemoryBytes = received.memory.bytes() + headMemory(headBytes, parser.get().size());
    while (!error) {
        const auto isDone = parser.is_done();
        const auto bodyBytes = parser.get().body().capacity();
        const auto stated = parser.content_length().value_or(bodyBytes + (isDone ? 0 : internal::bodyPieceBytes));
        const bool hasGrown = co_await this->reserve(
            connection, received.memory, headMemoryBytes + std::max<std::size_t>(stated, bodyBytes));
        if (!hasGrown) {
            co_await this->refuse(connection, RequestFailure::NoMemory);
            co_return std::nullopt;
        }
        if (isDone)
            break;
        const auto [readError, bytes]
            = co_await beast::http::async_read_some(stream, connection->buffer, parser, internal::awaitTuple);
        error = readError;
    }
    if (!error && internal::isUnambiguous(parser.get())) {
        received.request = parser.release();
        co_return std::move(received);
    }
    if (!error) {
        co_await this->refuse(connection, RequestFailure::Malformed);
        co_return std::nullopt;
    }
    if (error != beast::http::error::end_of_stream && error != asio::error::operation_aborted)
        co_await this->refuse(connection, internal::classify(error));
    co_return std::nullopt;
}

Task<bool> Server::reserve(std::shared_ptr<Connection> connection, BufferReservation& memory, std::size_t bytes)
{
    for (int attempt = 0; attempt < internal::maxShedForRequest; ++attempt) {
        if (memory.growTo(bytes)) {
            connection->bytes = memory.bytes();
            co_return true;
        }
        const bool isClosed = co_await this->closeOther(
            connection, [bytes](const auto& connections) { return unfinishedRequestToClose(connections, bytes); });
        if (!isClosed)
            break;
        // The closed connection returns its memory when its coroutine has ended.
        asio::steady_timer pause { connection->stream.get_executor(), internal::shedPause };
        co_await pause.async_wait(internal::awaitTuple);
    }
    co_return false;
}

std::shared_ptr<Server::Connection> Server::chooseOther(const Connection& connection, const Choose& choose)
{
    std::vector<std::shared_ptr<Connection>> others;
    std::vector<ConnectionView> views;
    const auto now = internal::Clock::now();
    for (const auto& other : this->connectionSnapshot()) {
        if (other.get() == &connection || other->isShed)
            continue;
        others.push_back(other);
        views.push_back(other->view(now));
    }
    const auto chosen = choose(views);
    return chosen ? others[*chosen] : nullptr;
}

Task<bool> Server::closeUnlessServing(std::shared_ptr<Connection> connection)
{
    // Its request may have arrived since the choice and may have been passed on.
    if (connection->view(internal::Clock::now()).state == ConnectionState::Serving) {
        connection->endsAfterRequest = true;
        co_return false;
    }
    connection->isShed = true;
    connection->stream.close();
    co_return true;
}

Task<bool> Server::closeOther(std::shared_ptr<Connection> connection, Choose choose)
{
    for (int attempt = 0; attempt < internal::maxChoices; ++attempt) {
        const auto other = this->chooseOther(*connection, choose);
        if (!other)
            co_return false;
        const bool isClosed
            = co_await asio::co_spawn(other->stream.get_executor(), closeUnlessServing(other), asio::use_awaitable);
        if (isClosed) {
            this->onRequestFailure(RequestFailure::Shed);
            co_return true;
        }
    }
    co_return false;
}

Task<void> Server::refuse(std::shared_ptr<Connection> connection, RequestFailure kind)
{
    this->onRequestFailure(kind);
    // The timeout has already closed the socket.
    if (kind == RequestFailure::RequestTimeout)
        co_return;
    const auto& info = internal::requestFailureInfos[static_cast<std::size_t>(kind)];
    Request request;
    request.version(11);
    request.keep_alive(false);
    ResponseWriter writer { connection->stream, request, this->options.writeTimeout };
    const auto body = R"({"error":{"message":")" + std::string { info.message }
        + R"(","type":"invalid_request_error","code":")" + std::string { info.name } + R"("}})";
    Response response { .status = info.status, .body = body };
    if (kind == RequestFailure::NoMemory)
        response.headers.emplace_back("Retry-After", retryAfterValue(this->options.noMemoryRetryAfter));
    const bool isSent = co_await writer.send(std::move(response));
    if (isSent && (kind == RequestFailure::NoMemory || kind == RequestFailure::BodyTooLarge))
        co_await discardInput(connection);
}

Task<void> Server::discardInput(std::shared_ptr<Connection> connection)
{
    beast::error_code error;
    connection->stream.socket().shutdown(Tcp::socket::shutdown_send, error);
    connection->buffer.clear();
    connection->stream.expires_after(internal::discardTime);
    while (!error) {
        const auto [readError, bytes] = co_await connection->stream.async_read_some(
            connection->buffer.prepare(internal::firstReadBytes), internal::awaitTuple);
        error = readError;
    }
}

Task<void> Server::serve(std::shared_ptr<Connection> connection)
{
    try {
        co_await this->serveRequests(connection);
    } catch (const std::exception&) {
        // Whatever the bytes of one caller lead to, the other connections must go on.
        this->onRequestFailure(RequestFailure::HandlerFailed);
    }
    beast::error_code ignored;
    connection->stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    this->removeConnection(connection);
}

Task<void> Server::serveRequests(std::shared_ptr<Connection> connection)
{
    bool hasRoom = this->connections <= this->options.maxConnections;
    if (!hasRoom)
        hasRoom = co_await this->closeOther(connection, connectionToClose);
    if (!hasRoom) {
        co_await this->refuse(connection, RequestFailure::TooManyConnections);
        co_return;
    }
    beast::error_code ignored;
    connection->stream.socket().set_option(Tcp::no_delay { true }, ignored);
    bool reusable = true;
    while (reusable) {
        connection->setState(ConnectionState::Idle);
        const auto received = co_await this->readRequest(connection);
        if (!received)
            break;
        const auto& request = received->request;
        ++this->requests;
        connection->setState(ConnectionState::Serving);
        ResponseWriter writer { connection->stream, request, this->options.writeTimeout, &connection->writing };
        if (this->draining || this->keepAliveDisabled)
            writer.disableKeepAlive();
        connection->stream.expires_never();
        try {
            co_await this->handler(request, writer);
        } catch (const std::exception&) {
            // The caller sees a closed connection. The exception must not skip the decrement below, since a drain
            // relies on the number of open requests.
            this->onRequestFailure(RequestFailure::HandlerFailed);
            writer.abort();
        }
        --this->requests;
        reusable = writer.reusable() && !this->draining && !connection->endsAfterRequest;
    }
}

void Server::removeConnection(const std::shared_ptr<Connection>& connection)
{
    const std::lock_guard lock { this->connectionsMutex };
    if (this->activeConnections.erase(connection) > 0)
        --this->connections;
}

std::set<std::shared_ptr<Server::Connection>> Server::connectionSnapshot()
{
    const std::lock_guard lock { this->connectionsMutex };
    return this->activeConnections;
}

InputLimits Server::currentLimits()
{
    const std::lock_guard lock { this->connectionsMutex };
    return this->limits;
}

void Server::setLimits(const InputLimits& changed)
{
    const std::lock_guard lock { this->connectionsMutex };
    this->limits = changed;
}

void Server::drain()
{
    this->draining = true;
    asio::dispatch(this->acceptor.get_executor(), [self = this->shared_from_this()] {
        if (!self->acceptor.is_open())
            return;
        // The operating system has completed these connections, so their callers may already have sent requests.
        self->acceptPending();
        beast::error_code ignored;
        self->acceptor.close(ignored);
    });
    for (const auto& connection : this->connectionSnapshot()) {
        asio::dispatch(connection->stream.get_executor(), [connection] {
            beast::error_code error;
            const bool hasArrived = connection->stream.socket().available(error) > 0 && !error;
            if (!connection->busy() && !hasArrived)
                connection->stream.cancel();
        });
    }
}

bool Server::idle()
{
    const auto all = this->connectionSnapshot();
    return this->requests == 0 && std::ranges::none_of(all, [](const auto& connection) { return connection->busy(); });
}

void Server::abort()
{
    this->drain();
    for (const auto& connection : this->connectionSnapshot()) {
        asio::dispatch(connection->stream.get_executor(), [connection] { connection->stream.close(); });
    }
}

} // namespace chivewinch::http
