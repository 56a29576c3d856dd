#pragma once

#include "http/message.hpp"
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
    NotSent, ///< No byte of the request left this process.
    NoAnswer, ///< The request may have arrived; no whole answer did.
};

/** Why a request got no whole answer. */
struct Error {
    ErrorCode code = ErrorCode::None;
    std::string detail;

    bool operator==(const Error&) const = default;
};

struct ClientOptions {
    settings::Endpoint server;
    std::chrono::milliseconds connectTimeout { std::chrono::seconds { 1 } };
    /** Longest silence while an answer is read. */
    std::chrono::milliseconds readTimeout { std::chrono::seconds { 60 } };
    std::size_t maxIdleConnections = 32;
    /** Longest idle time of a kept connection, unless the server states a shorter one in Keep-Alive. */
    std::chrono::milliseconds maxIdleTime { std::chrono::seconds { 10 } };
    /** A connection whose sent bytes are not acknowledged within this time is lost (TCP_USER_TIMEOUT); 0 for never. */
    std::chrono::milliseconds unacknowledgedTimeout { 0 };
    std::uint64_t maxBodyBytes = 16U << 20;
    /** Longest head of an answer, and longest chunk head or trailer in its body. */
    std::uint32_t maxHeadBytes = 32U << 10;
    /** A whole answer may take this many times the read time-out; single bytes now and then would never end. */
    std::uint32_t maxReadTimeouts = 4;
};

/** Ends a request from outside, also before its answer has begun. Used on the client's executor only. */
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
    boost::beast::tcp_stream* stream = nullptr; ///< Set while the request is sent and its head is read.
    bool isCancelled = false;
};

struct SendOptions {
    /** Overrides the read time-out of the client. */
    std::optional<std::chrono::milliseconds> readTimeout;
    /**
     * Uses a new connection. A kept connection may have been closed by the server in the meantime, and a request that
     * may run only once cannot be sent again then.
     */
    bool freshConnection = false;
    /** Must outlive the call; nullptr for none. */
    Cancellation* cancellation = nullptr;
};

/** Reads one answer piece by piece. */
class ResponseStream {
public:
    ResponseStream();
    ResponseStream(const ResponseStream&) = delete;
    ResponseStream& operator=(const ResponseStream&) = delete;
    ~ResponseStream();

    [[nodiscard]] unsigned status() const;
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /** All header fields in the order in which they arrived. */
    [[nodiscard]] Headers headers() const;
    /** Next bytes of the body; empty at its end; nullopt and an error if it is cut. */
    [[nodiscard]] Task<std::optional<std::string>> read(Error& reason);
    /** Longest silence in further reads. */
    void setReadTimeout(std::chrono::milliseconds timeout) noexcept;
    /** Closes the connection; a pending read fails. */
    void cancel() noexcept;

private:
    friend class Client;
    struct State;
    std::unique_ptr<State> state;
};

/** HTTP/1.1 client of one server, with kept connections. Used on its executor only, which must be a strand. */
class Client {
public:
    Client(boost::asio::any_io_executor executor, ClientOptions options);
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
    ~Client();

    /** Sends a request and reads the head of its answer. The Host field of the request is kept if it has one. */
    [[nodiscard]] Task<std::unique_ptr<ResponseStream>> open(Request request, SendOptions options, Error& reason);

    /** Sends a request and reads its whole answer, within a multiple of the read time-out. */
    [[nodiscard]] Task<std::optional<Response>> send(Request request, SendOptions options, Error& reason);

    /** Closes the kept connections, for instance after the process was suspended. */
    void dropIdle() noexcept { this->pool->clear(); }

    [[nodiscard]] const ClientOptions& clientOptions() const noexcept { return this->options; }

private:
    friend struct ResponseStream::State;
    /** Connection that waits for its next request. */
    struct Idle {
        std::unique_ptr<boost::beast::tcp_stream> stream;
        std::chrono::steady_clock::time_point usableUntil;
    };
    using Pool = std::vector<Idle>;

    boost::asio::any_io_executor executor;
    ClientOptions options;
    std::shared_ptr<Pool> pool;

    [[nodiscard]] Task<std::unique_ptr<boost::beast::tcp_stream>> connect(bool fresh, Error& reason);
};

/** Request with the fields that every server expects. */
[[nodiscard]] Request makeRequest(std::string_view method, std::string_view target, std::string body = {},
    std::string_view contentType = "application/json");

} // namespace chivewinch::http
