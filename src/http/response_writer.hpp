#pragma once

#include "http/message.hpp"

#include <boost/beast/core/tcp_stream.hpp>

#include <atomic>
#include <chrono>
#include <optional>
#include <string_view>

namespace chivewinch::http {

/** Since when a write to a connection waits for its reader; read from other threads. */
class WriteProgress {
public:
    void begin() noexcept { this->begun = std::chrono::steady_clock::now(); }
    void end() noexcept { this->begun = std::chrono::steady_clock::time_point {}; }
    /** Begin of the current write; nullopt if there is none. */
    [[nodiscard]] std::optional<std::chrono::steady_clock::time_point> since() const noexcept
    {
        const auto time = this->begun.load();
        return time == std::chrono::steady_clock::time_point {} ? std::nullopt : std::optional { time };
    }

private:
    std::atomic<std::chrono::steady_clock::time_point> begun { std::chrono::steady_clock::time_point {} };
};

/** Sends the response to one request, either complete or in chunks. */
class ResponseWriter {
public:
    /** @param progress Where the writer states whether it waits for the caller; may be nullptr. */
    ResponseWriter(boost::beast::tcp_stream& stream, const Request& request, std::chrono::milliseconds writeTimeout,
        WriteProgress* progress = nullptr);

    ResponseWriter(const ResponseWriter&) = delete;
    ResponseWriter& operator=(const ResponseWriter&) = delete;

    /** Sends a complete response; false if writing failed, for instance because the caller has disconnected. */
    [[nodiscard]] Task<bool> send(Response response);

    /** Starts a chunked response with the given status, content type and headers; the given body is ignored. */
    [[nodiscard]] Task<bool> start(const Response& response);
    /** Sends one chunk. Completes when the socket has accepted all bytes, so a slow caller applies back-pressure. */
    [[nodiscard]] Task<bool> write(std::string_view bytes);
    /** Ends a chunked response. */
    [[nodiscard]] Task<bool> finish();
    /** Closes the connection, so that the caller detects an incomplete response. */
    void abort() noexcept;

    /** Completes when the caller closes the connection. Must be cancelled after the response is sent. */
    [[nodiscard]] Task<void> waitForDisconnect();

    [[nodiscard]] bool started() const noexcept { return this->isStarted; }
    [[nodiscard]] bool failed() const noexcept { return this->hasFailed; }
    /** True if the connection can be used for another request. */
    [[nodiscard]] bool reusable() const noexcept { return this->isComplete && !this->hasFailed && this->keepAlive; }
    /** Closes the connection after the response. */
    void disableKeepAlive() noexcept { this->keepAlive = false; }

private:
    boost::beast::tcp_stream& stream;
    std::chrono::milliseconds writeTimeout;
    WriteProgress* progress;
    unsigned version;
    bool keepAlive;
    bool headOnly;
    bool isStarted = false;
    bool isComplete = false;
    bool hasFailed = false;

    [[nodiscard]] Task<bool> writeBytes(std::string_view bytes);
    void beginWrite();
    void endWrite(bool hasError) noexcept;
};

} // namespace chivewinch::http
