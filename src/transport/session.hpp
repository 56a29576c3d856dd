#pragma once

#include "transport/error.hpp"
#include "transport/stream_observer.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct nghttp2_session;

namespace chivewinch::transport {

using StreamId = std::int32_t;

struct SessionOptions {
    /** Largest number of bytes that a peer may send on one stream before they are consumed. */
    std::uint32_t streamWindowBytes = 256U << 10;
    std::uint32_t maxConcurrentStreams = 4096;
    /** Calls onWritable when the number of queued bytes of a stream falls below this. */
    std::size_t lowWaterBytes = 64U << 10;
    /** The session fails if nothing is received for this time. Heartbeats keep it alive. */
    std::chrono::milliseconds idleTimeout { std::chrono::seconds { 10 } };
};

/**
 * One HTTP/2 connection between two chivewinch processes. All calls and all observer events happen on the executor
 * of the socket, which must be a strand.
 *
 * The connection's receive window is replenished as soon as bytes arrive; a stream's receive window is replenished only
 * by consume(). A slow reader of one stream therefore never blocks the other streams of the connection.
 */
class Session : public std::enable_shared_from_this<Session> {
public:
    /** Called for each stream that the client opens; returns the observer of the stream, or nullptr to refuse it. */
    using AcceptHandler = std::function<std::shared_ptr<StreamObserver>(
        const std::shared_ptr<Session>&, StreamId, std::string_view path)>;
    using CloseHandler = std::function<void(const Error&)>;

    [[nodiscard]] static std::shared_ptr<Session> client(
        boost::asio::ip::tcp::socket socket, const SessionOptions& options, CloseHandler onClose);
    [[nodiscard]] static std::shared_ptr<Session> server(boost::asio::ip::tcp::socket socket,
        const SessionOptions& options, AcceptHandler onAccept, CloseHandler onClose);

    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;
    ~Session();

    /** Starts reading and writing. */
    void start();

    /** Opens a stream with a POST request for the path; 0 if the stream cannot be opened. Client only. */
    [[nodiscard]] StreamId open(std::string_view path, std::shared_ptr<StreamObserver> observer);

    /** Queues bytes on a stream; false if the stream is closed or finish() was called. */
    bool send(StreamId stream, std::string_view bytes);
    /** Ends the sending side of a stream after the queued bytes. */
    void finish(StreamId stream);
    /** Resets a stream immediately, in both directions. */
    void reset(StreamId stream);
    /** Replenishes the receive window of a stream by the number of bytes that its reader has processed. */
    void consume(StreamId stream, std::size_t bytes);

    /** True if any byte of the stream may have been sent; also true for an unknown stream. */
    [[nodiscard]] bool mayHaveBeenSent(StreamId stream) const;
    [[nodiscard]] std::size_t queuedBytes(StreamId stream) const;
    [[nodiscard]] std::size_t streamCount() const noexcept { return this->streams.size(); }
    [[nodiscard]] bool closed() const noexcept { return this->isClosed; }
    [[nodiscard]] boost::asio::any_io_executor executor() { return this->socket.get_executor(); }

    /** Closes the session immediately; bytes that are still queued are not sent. */
    void close() { this->fail({ .code = ErrorCode::Closed, .detail = "closed by this process" }); }

private:
    struct Stream;
    struct Callbacks;
    friend struct Callbacks;

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer idleTimer;
    SessionOptions options;
    AcceptHandler acceptHandler;
    CloseHandler closeHandler;
    nghttp2_session* http2 = nullptr;
    std::map<StreamId, std::unique_ptr<Stream>> streams;
    std::array<char, 32U << 10> readBuffer {};
    std::string writeBuffer;
    bool isServer;
    bool writing = false;
    bool flushPending = false;
    bool isClosed = false;

    Session(boost::asio::ip::tcp::socket socket, const SessionOptions& options, bool isServer);

    void initialise();
    void read();
    void onRead(const boost::system::error_code& error, std::size_t bytes);
    void scheduleFlush();
    void flush();
    void onWritten(const boost::system::error_code& error);
    void armIdleTimer();
    void fail(const Error& error);
    void closeStream(StreamId stream, const Error& error);
    [[nodiscard]] Stream* find(StreamId stream) const;
    void notifyClosed(const Error& error);
};

} // namespace chivewinch::transport
