#pragma once

#include "http/response_writer.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace chivewinch::http {

/**
 * Calls a function when the caller closes its connection, or when the watch is stopped. Used only on the strand of the
 * connection.
 */
class DisconnectWatch {
public:
    explicit DisconnectWatch(const boost::asio::any_io_executor& executor);
    DisconnectWatch(const DisconnectWatch&) = delete;
    DisconnectWatch& operator=(const DisconnectWatch&) = delete;

    void start(ResponseWriter& writer, std::function<void()> onEnd);
    /** Stops watching. After completion, the writer is no longer used. */
    [[nodiscard]] Task<void> stop();

private:
    boost::asio::any_io_executor executor;
    boost::asio::cancellation_signal signal;
    boost::asio::steady_timer ended;
    bool running = false;
};

} // namespace chivewinch::http
