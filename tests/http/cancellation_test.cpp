#include "http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

namespace chivewinch::http {

namespace asio = boost::asio;
using namespace std::chrono_literals;

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
