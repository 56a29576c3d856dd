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

/** How the connection of a request ends for a server that begins to read only after the client has given it up. */
boost::system::error_code endAfterGivingUp(SendOptions options, const std::function<void()>& whileSending)
{
    asio::io_context context;
    asio::ip::tcp::acceptor server { context, { asio::ip::make_address("127.0.0.1"), 0 } };
    Client client { context.get_executor(),
        { .server = { .address = "127.0.0.1", .port = server.local_endpoint().port() } } };
    // More than the buffers of both sides hold, so that a part of it is not sent yet.
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

// Guards against a request that reaches the target after its caller has left: bytes that a cut link held up arrive once
// it heals, unless the connection was reset.
TEST(CancellationTest, DropsWhatWasNotSentYet)
{
    Cancellation cancellation;
    EXPECT_EQ(endAfterGivingUp({ .cancellation = &cancellation }, [&cancellation] { cancellation.cancel(); }),
        asio::error::connection_reset);
}

// The same for a target that did not answer in time and was replaced by another one.
TEST(CancellationTest, DropsWhatWasNotSentInTime)
{
    EXPECT_EQ(endAfterGivingUp({ .readTimeout = 100ms }, [] {}), asio::error::connection_reset);
}

// Guards against a target that works on for a caller that has left before the answer began.
TEST(CancellationTest, EndsRequestWhoseAnswerHasNotBegun)
{
    asio::io_context context;
    asio::ip::tcp::acceptor silent { context, { asio::ip::make_address("127.0.0.1"), 0 } };
    ClientOptions options;
    options.server = { .address = "127.0.0.1", .port = silent.local_endpoint().port() };
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
    EXPECT_EQ(reason.code, ErrorCode::NoAnswer);
}

} // namespace chivewinch::http
