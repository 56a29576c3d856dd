#pragma once

#include "http/message.hpp"

#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <string_view>

namespace chivewinch::http {

/** Sends the answer to one request, whole or in chunks. */
class ResponseWriter {
public:
    ResponseWriter(boost::beast::tcp_stream& stream, const Request& request, std::chrono::milliseconds writeTimeout);

    ResponseWriter(const ResponseWriter&) = delete;
    ResponseWriter& operator=(const ResponseWriter&) = delete;

    /** Sends a whole answer; false if the caller is gone. */
    [[nodiscard]] Task<bool> send(Response response);

    /** Starts a chunked answer with the status, content type and headers of the response; its body is ignored. */
    [[nodiscard]] Task<bool> start(const Response& response);
    /** Sends one chunk. Completes when the socket has taken it, which is the caller's back-pressure. */
    [[nodiscard]] Task<bool> write(std::string_view bytes);
    /** Ends a chunked answer. */
    [[nodiscard]] Task<bool> finish();
    /** Cuts the connection so that the caller sees an incomplete answer. */
    void abort() noexcept;

    /** Completes when the caller closes the connection. Cancel it once the answer is sent. */
    [[nodiscard]] Task<void> waitForDisconnect();

    [[nodiscard]] bool started() const noexcept { return this->isStarted; }
    [[nodiscard]] bool failed() const noexcept { return this->hasFailed; }
    /** True if the connection can take another request. */
    [[nodiscard]] bool reusable() const noexcept { return this->isComplete && !this->hasFailed && this->keepAlive; }
    /** Makes the answer the last one on its connection. */
    void closeAfter() noexcept { this->keepAlive = false; }

private:
    boost::beast::tcp_stream& stream;
    std::chrono::milliseconds writeTimeout;
    unsigned version;
    bool keepAlive;
    bool headOnly;
    bool isStarted = false;
    bool isComplete = false;
    bool hasFailed = false;

    [[nodiscard]] Task<bool> writeBytes(std::string_view bytes);
};

} // namespace chivewinch::http
