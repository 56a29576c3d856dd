#pragma once

#include "http/buffer_budget.hpp"
#include "http/message.hpp"
#include "http/server_lifetimes.hpp"
#include "settings/value_type.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::http {

enum class ErrorCode : std::uint8_t {
    None,
    NotSent, ///< No byte of the request was sent.
    NoResponse, ///< The request may have reached the server, but no complete response was received.
    InvalidResponse, ///< The server sent bytes that are no valid response or exceed a limit.
    NoMemory, ///< The process has no memory left for the response. Nothing is known of the server.
};

/** Reason why a request received no complete response. */
struct Error {
    ErrorCode code = ErrorCode::None;
    std::string detail;

    bool operator==(const Error&) const = default;
};

struct ClientOptions {
    settings::Endpoint server;
    std::chrono::milliseconds connectTimeout { std::chrono::seconds { 1 } };
    /** Longest time without received bytes while a response is read. */
    std::chrono::milliseconds readTimeout { std::chrono::seconds { 60 } };
    std::size_t maxIdleConnections = 32;
    /** Longest time that an idle connection is kept, unless the Keep-Alive header states a shorter one. */
    std::chrono::milliseconds maxIdleTime { std::chrono::seconds { 10 } };
    /** Fails a connection whose sent bytes stay unacknowledged for this time (TCP_USER_TIMEOUT); 0 for no limit. */
    std::chrono::milliseconds unacknowledgedTimeout { 0 };
    /** Largest body of a response that send() reads; a ResponseStream has no limit, since it holds one piece only. */
    std::uint64_t maxBodyBytes = 16U << 20;
    /** Shared by all buffers of the process; nullptr for no limit. */
    std::shared_ptr<BufferBudget> buffers;
    /** Largest header section of a response, and largest chunk header or trailer section in its body. */
    std::uint32_t maxHeadBytes = 32U << 10;
    /**
     * A complete response must arrive within this many read timeouts. Without the limit, a server that sends single
     * bytes at intervals could extend a response forever.
     */
    std::uint32_t responseTimeoutFactor = 4;
};

/** Cancels a running request, even before its response has started. Used on the client's executor only. */
class Cancellation {
public:
    void cancel() noexcept
    {
        this->isCancelled = true;
        if (this->stream != nullptr)
            this->stream->close();
    }

private:
    friend class Client;
    boost::beast::tcp_stream* stream = nullptr; ///< Set while the request is sent and the response header is read.
    bool isCancelled = false;
};

struct SendOptions {
    /** Overrides the read timeout of the client. */
    std::optional<std::chrono::milliseconds> readTimeout;
    /**
     * Uses a new connection. The server may already have closed an idle connection, and a non-repeatable request must
     * not be sent again after that failure.
     */
    bool freshConnection = false;
    /** Uses the idle connection that was opened first, even if the client keeps it as a witness. */
    bool oldestConnection = false;
    /** Must outlive the call; nullptr for none. */
    Cancellation* cancellation = nullptr;
    /** Body to send in place of that of the request, so that it need not be copied. Must outlive the call. */
    std::optional<std::string_view> body;
};

/** Whether a server accepts connections. */
enum class ServerState : std::uint8_t {
    Accepts,
    Refuses, ///< The machine answers, but no process listens at the address.
    Unknown, ///< No answer in time, or the connection was closed at once.
};

/** Reads one response incrementally. */
class ResponseStream {
public:
    ResponseStream();
    ResponseStream(const ResponseStream&) = delete;
    ResponseStream& operator=(const ResponseStream&) = delete;
    ~ResponseStream();

    [[nodiscard]] unsigned status() const;
    /** Value of the first header field with this name; empty if there is none. */
    [[nodiscard]] std::string_view header(std::string_view name) const;
    [[nodiscard]] bool hasHeader(std::string_view name) const;
    /** True if an earlier request was sent on the same connection; a faulty server may answer that one again. */
    [[nodiscard]] bool isOnKeptConnection() const noexcept;
    /**
     * True if the body has neither a length nor chunks and ends with the connection. Its end then does not show whether
     * the body is complete.
     */
    [[nodiscard]] bool endsWithConnection() const;
    /**
     * Records that the server has run since it accepted the connection until the request was sent. To be called once
     * the response is known to answer this request: a faulty server may answer an earlier one again.
     */
    void recordAnswered();
    /** All header fields in the order in which they arrived. */
    [[nodiscard]] Headers headers() const;
    /** Returns the next bytes of the body; empty at its end; nullopt and an error if the body is incomplete. */
    [[nodiscard]] Task<std::optional<std::string>> read(Error& reason);
    /** Longest time without received bytes in later reads. */
    void setReadTimeout(std::chrono::milliseconds timeout) noexcept;
    /** Closes the connection; a pending read fails. */
    void cancel() noexcept;

private:
    friend class Client;
    struct State;
    std::unique_ptr<State> state;
};

/** HTTP/1.1 client of one server, with a connection pool. Used only on its executor, which must be a strand. */
class Client {
public:
    Client(boost::asio::any_io_executor executor, ClientOptions options);
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
    ~Client();

    /** Sends a request and reads the response header. Sets the Host field unless the request already has one. */
    [[nodiscard]] Task<std::unique_ptr<ResponseStream>> open(Request request, SendOptions options, Error& reason);

    /**
     * Sends a request and reads its complete response, within a multiple of the read timeout. The body counts against
     * the buffers of the process until it is complete; the caller decodes it at once.
     */
    [[nodiscard]] Task<std::optional<Response>> send(Request request, SendOptions options, Error& reason);

    /** Opens a connection to find out whether the server still runs; keeps it for later requests if it does. */
    [[nodiscard]] Task<ServerState> probe();

    /** Number of an event that happens now; see ServerLifetimes. */
    [[nodiscard]] EventNumber nextEvent() { return this->lifetimes->next(); }
    /**
     * True if the process that sent the response is known to have run at this event, which a response on a connection
     * that is older than that of the first one shows.
     */
    [[nodiscard]] bool senderRanAt(const ResponseStream& response, EventNumber event) const;

    /**
     * Sends each request only on a connection that is younger than an idle one, so that the idle one can later show
     * whether the process that accepted the request still runs.
     */
    void keepWitness() noexcept { this->keepsWitness = true; }

    /** Closes the idle connections, for instance after the process was suspended. */
    void closeIdleConnections() noexcept { this->pool->clear(); }

    /** Changes the number of idle connections that are kept; closes the oldest ones beyond it. */
    void setMaxIdleConnections(std::size_t count);

    [[nodiscard]] const ClientOptions& clientOptions() const noexcept { return this->options; }

private:
    friend struct ResponseStream::State;
    /** Pooled connection that carries no request. */
    struct IdleConnection {
        std::unique_ptr<boost::beast::tcp_stream> stream;
        std::chrono::steady_clock::time_point usableUntil;
        EventNumber accepted = 0; ///< Event at which it was opened.
    };
    using Pool = std::vector<IdleConnection>;

    boost::asio::any_io_executor executor;
    ClientOptions options;
    std::shared_ptr<Pool> pool;
    std::shared_ptr<ServerLifetimes> lifetimes;
    bool keepsWitness = false;

    /** Connection for a request. */
    struct Connection {
        std::unique_ptr<boost::beast::tcp_stream> stream;
        EventNumber accepted = 0;
        bool isKept = false;
    };

    /** Returns a connection without a stream and sets the error if none can be opened. */
    [[nodiscard]] Task<Connection> connect(SendOptions sendOptions, Error& reason);
    /**
     * Returns an idle connection that is usable, and removes it from the pool.
     * @param reserved Number of connections, from the front, that stay there.
     */
    [[nodiscard]] std::optional<IdleConnection> takeIdle(bool oldest, std::size_t reserved = 0);
    /** Opens an idle connection unless there is one. */
    [[nodiscard]] Task<void> openWitness();
    void keepIdle(std::unique_ptr<boost::beast::tcp_stream> stream, EventNumber accepted);
    /** Opens a new connection; returns nullptr and sets the error if that fails. */
    [[nodiscard]] Task<std::unique_ptr<boost::beast::tcp_stream>> openConnection(boost::system::error_code& error);
};

/** Creates an HTTP/1.1 request; sets Content-Type only if the body is not empty. */
[[nodiscard]] Request makeRequest(std::string_view method, std::string_view target, std::string body = {},
    std::string_view contentType = "application/json");

} // namespace chivewinch::http
