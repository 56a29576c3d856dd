#pragma once

#include "http/buffer_budget.hpp"
#include "http/message.hpp"
#include "http/response_writer.hpp"
#include "http/shedding.hpp"
#include "settings/value_type.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace chivewinch::http {

struct ServerOptions {
    settings::Endpoint listen;
    std::uint32_t maxHeaderBytes = 16U << 10;
    std::uint64_t maxBodyBytes = 8U << 20;
    /** Shared by all buffers of the process; nullptr for no limit. Requests that find no memory are refused with 503.
     */
    std::shared_ptr<BufferBudget> buffers;
    /** Retry-After of requests that are refused for lack of memory. */
    std::chrono::milliseconds noMemoryRetryAfter { 500 };
    /**
     * Beyond it, connections without a request that is being served are closed to make room for new ones; if there is
     * none, new ones are refused with 503.
     */
    std::size_t maxConnections = 20'000;
    /** A complete request must arrive within this time after its first byte; slower callers are disconnected. */
    std::chrono::milliseconds requestTimeout { std::chrono::seconds { 10 } };
    /** An idle connection is closed after this time. */
    std::chrono::milliseconds idleTimeout { std::chrono::seconds { 60 } };
    /** A caller is disconnected if one write to its connection takes longer than this. */
    std::chrono::milliseconds writeTimeout { std::chrono::seconds { 30 } };
};

/** Reason why a request was not served: it was rejected before its handler was called, or the handler failed. */
enum class RequestFailure : std::uint8_t {
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    RequestTimeout,
    TooManyConnections,
    NoMemory, ///< The buffers of the process are full.
    Shed, ///< Closed to make room for another connection or request.
    HandlerFailed, ///< The handler threw an exception; this is a bug in the program.
    Count
};

[[nodiscard]] std::string_view toString(RequestFailure kind) noexcept;

/** Limits on the input of callers; they can change while the server runs. */
struct InputLimits {
    std::uint32_t maxHeaderBytes = 0;
    std::uint64_t maxBodyBytes = 0;
    std::chrono::milliseconds requestTimeout {};
    std::chrono::milliseconds idleTimeout {};

    bool operator==(const InputLimits&) const = default;
};

/** HTTP/1.1 server. Each connection runs on its own strand. */
class Server : public std::enable_shared_from_this<Server> {
public:
    using Handler = std::function<Task<void>(const Request&, ResponseWriter&)>;
    using RequestFailureHandler = std::function<void(RequestFailure)>;

    Server(const boost::asio::any_io_executor& executor, ServerOptions options, Handler handler,
        RequestFailureHandler onRequestFailure);
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
    ~Server();

    /** Binds and starts to accept connections; returns nullopt and sets lastReason() if the address cannot be bound. */
    [[nodiscard]] std::optional<settings::Endpoint> start();
    [[nodiscard]] const std::string& lastReason() const noexcept { return this->reason; }

    /** Applies to each request whose first byte arrives later, and to each idle time that begins later. */
    void setLimits(const InputLimits& limits);

    /** Closes each connection after its next response; new connections are still accepted. */
    void disableKeepAlive() noexcept { this->keepAliveDisabled = true; }
    /**
     * Stops accepting connections, closes idle connections, and closes each other connection after its open request.
     * Requests that the operating system has already received are still served.
     */
    void drain();
    /** Drains the server and closes every connection immediately, including those with open requests. */
    void abort();

    /** True if no request is being served or received. */
    [[nodiscard]] bool idle();
    [[nodiscard]] std::size_t openRequests() const noexcept { return this->requests.load(); }
    [[nodiscard]] std::size_t openConnections() const noexcept { return this->connections.load(); }

private:
    struct Connection;
    struct ReceivedRequest;

    boost::asio::any_io_executor executor;
    ServerOptions options;
    Handler handler;
    RequestFailureHandler onRequestFailure;
    boost::asio::ip::tcp::acceptor acceptor;
    std::string reason;
    std::atomic<std::size_t> requests { 0 };
    std::atomic<std::size_t> connections { 0 };
    std::atomic<bool> draining { false };
    std::atomic<bool> keepAliveDisabled { false };
    std::mutex connectionsMutex;
    std::set<std::shared_ptr<Connection>> activeConnections;
    InputLimits limits; ///< Guarded by connectionsMutex.

    [[nodiscard]] InputLimits currentLimits();
    [[nodiscard]] Task<void> accept();
    /** Accepts and serves all connections in the listen backlog. Called on the acceptor's executor. */
    void acceptPending();
    void startServing(boost::asio::ip::tcp::socket socket);
    [[nodiscard]] Task<void> serve(std::shared_ptr<Connection> connection);
    [[nodiscard]] Task<void> serveRequests(std::shared_ptr<Connection> connection);
    /** Waits for the next request of an idle connection. Returns false if the connection has ended. */
    [[nodiscard]] Task<bool> readFirstBytes(std::shared_ptr<Connection> connection);
    [[nodiscard]] Task<std::optional<ReceivedRequest>> readRequest(std::shared_ptr<Connection> connection);
    /** Reserves memory for an unfinished request, in place of larger ones if necessary; false if there is none. */
    [[nodiscard]] Task<bool> reserve(
        std::shared_ptr<Connection> connection, BufferReservation& memory, std::size_t bytes);
    using Choose = std::function<std::optional<std::size_t>(std::span<const ConnectionView>)>;
    /** Closes another connection to make room for the given one; false if none can be closed. */
    [[nodiscard]] Task<bool> closeOther(std::shared_ptr<Connection> connection, Choose choose);
    [[nodiscard]] std::shared_ptr<Connection> chooseOther(const Connection& connection, const Choose& choose);
    /** Closes the connection, or lets it end after the request that is being served; returns whether it is closed. */
    [[nodiscard]] static Task<bool> closeUnlessServing(std::shared_ptr<Connection> connection);
    [[nodiscard]] Task<void> refuse(std::shared_ptr<Connection> connection, RequestFailure kind);
    /** Ends the sending side, then reads until the caller closes the connection, for a limited time. */
    [[nodiscard]] static Task<void> discardInput(std::shared_ptr<Connection> connection);
    void removeConnection(const std::shared_ptr<Connection>& connection);
    [[nodiscard]] std::set<std::shared_ptr<Connection>> connectionSnapshot();
};

} // namespace chivewinch::http
