#include "http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

#include <array>
#include <cstddef>
#include <functional>
#include <string>

namespace chivewinch::http {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

/** Returns the read error of a server that starts to read only after the client has abandoned its request. */
boost::system::error_code readErrorAfterAbandonedRequest(SendOptions options, const std::function<void()>& whileSending)
{
    asio::io_context context;
    asio::ip::tcp::acceptor server { context, { asio::ip::make_address("127.0.0.1"), 0 } };
    Client client { context.get_executor(),
        { .server = { .address = "127.0.0.1", .port = server.local_endpoint().port() } } };
    // Larger than the socket buffers of both sides, so that a part of the request stays unsent.
    constexpr std::size_t bodyBytes = 32U << 20;
    bool wasSent = true;
    auto send = [&]() -> Task<void> {
        Error reason;
        const auto stream
            = co_await client.open(makeRequest("POST", "/", std::string(bodyBytes, 'x')), options, reason);
        wasSent = stream != nullptr;
    };
    asio::ip::tcp::socket accepted { context };
    server.async_accept(accepted, [](const boost::system::error_code&) {});
    asio::co_spawn(context, send, asio::detached);
    context.run_for(50ms);
    whileSending();
    context.run_for(200ms);
    EXPECT_FALSE(wasSent);
    std::array<char, 64U << 10> chunk {};
    boost::system::error_code error;
    while (!error)
        (void)accepted.read_some(asio::buffer(chunk), error);
    return error;
}

} // namespace

// Guards against a request that reaches the target after its caller has disconnected: unless the connection is reset,
// bytes that are delayed by a network interruption arrive after the network recovers.
TEST(CancellationTest, CancelDiscardsUnsentData)
{
    Cancellation cancellation;
    EXPECT_EQ(
        readErrorAfterAbandonedRequest({ .cancellation = &cancellation }, [&cancellation] { cancellation.cancel(); }),
        asio::error::connection_reset);
}

// Guards against the same failure after a timeout, when another target has replaced one that did not respond in time.
TEST(CancellationTest, TimeoutDiscardsUnsentData)
{
    EXPECT_EQ(readErrorAfterAbandonedRequest({ .readTimeout = 100ms }, [] {}), asio::error::connection_reset);
}

// Guards against a target that continues to process a request whose caller disconnected before the response started.
TEST(CancellationTest, CancelEndsRequestBeforeResponse)
{
    asio::io_context context;
    asio::ip::tcp::acceptor unresponsiveServer { context, { asio::ip::make_address("127.0.0.1"), 0 } };
    ClientOptions options;
    options.server = { .address = "127.0.0.1", .port = unresponsiveServer.local_endpoint().port() };
    Client client { context.get_executor(), options };
    Cancellation cancellation;
    Error reason;
    auto task = [&]() -> Task<bool> {
        SendOptions sendOptions;
        sendOptions.cancellation = &cancellation;
        const auto stream = co_await client.open(makeRequest("GET", "/"), sendOptions, reason);
        co_return stream != nullptr;
    };
    asio::steady_timer timer { context, 50ms };
    timer.async_wait([&cancellation](const boost::system::error_code&) { cancellation.cancel(); });
    auto answered = asio::co_spawn(context, task, asio::use_future);
    context.run_for(2s);
    ASSERT_EQ(answered.wait_for(0s), std::future_status::ready);
    EXPECT_FALSE(answered.get());
    EXPECT_EQ(reason.code, ErrorCode::NoResponse);
}

} // namespace chivewinch::http
