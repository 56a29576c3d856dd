#include "http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

namespace chivewinch::http {
namespace {

// Guards against an address from another writer that ends the process when a connection to it is opened.
TEST(ClientAddress, AnInvalidAddressIsAFailureToSend)
{
    for (const auto* address : { "", "nowhere", "10.0.0.256", "10.0.0.1:80" }) {
        boost::asio::io_context context;
        Client client { context.get_executor(), { .server = { .address = address, .port = 80 } } };
        const auto open = [&client]() -> Task<Error> {
            Error error;
            const SendOptions options;
            const auto stream = co_await client.open(makeRequest("GET", "/"), options, error);
            EXPECT_EQ(stream, nullptr);
            co_return error;
        };
        auto result = boost::asio::co_spawn(context, open(), boost::asio::use_future);
        context.run();
        EXPECT_EQ(result.get().code, ErrorCode::NotSent) << address;
    }
}

} // namespace
} // namespace chivewinch::http
