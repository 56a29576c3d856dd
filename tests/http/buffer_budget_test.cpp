#include "http/buffer_budget.hpp"
#include "http/client.hpp"
#include "http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace chivewinch::http {
namespace {

namespace asio = boost::asio;

// Guards against buffers that exceed the budget together, and against large buffers that leave nothing for small ones.
TEST(BufferBudget, LargeBuffersLeaveRoomForSmallOnes)
{
    const auto budget = std::make_shared<BufferBudget>(1'000'000);
    std::vector<BufferReservation> large;
    for (int i = 0; i < 50; ++i) {
        large.emplace_back(budget);
        while (large.back().growTo(large.back().bytes() + 1'000)) { }
    }
    for (auto& reservation : large)
        while (reservation.growTo(reservation.bytes() + 1'000)) { }
    EXPECT_LE(budget->used(), budget->limit());
    BufferReservation small { budget };
    EXPECT_TRUE(small.growTo(1));
    large.clear();
    EXPECT_EQ(budget->used(), 1U);
}

TEST(BufferBudget, EqualBuffersGetEqualParts)
{
    const auto budget = std::make_shared<BufferBudget>(1'100'000);
    std::vector<BufferReservation> all;
    for (int i = 0; i < 10; ++i)
        all.emplace_back(budget);
    for (int bytes = 1'000; bytes <= 1'100'000; bytes += 1'000)
        for (auto& reservation : all)
            (void)reservation.growTo(static_cast<std::size_t>(bytes));
    for (const auto& reservation : all)
        EXPECT_NEAR(static_cast<double>(reservation.bytes()), 100'000, 2'000);
}

// Guards against bytes that are returned twice, or never, when a reservation moves.
TEST(BufferBudget, MovedReservationsReturnTheirBytesOnce)
{
    const auto budget = std::make_shared<BufferBudget>(1'000);
    {
        BufferReservation first { budget };
        ASSERT_TRUE(first.growTo(300));
        BufferReservation second { std::move(first) };
        BufferReservation third { budget };
        ASSERT_TRUE(third.growTo(100));
        third = std::move(second);
        EXPECT_EQ(budget->used(), 300U);
    }
    EXPECT_EQ(budget->used(), 0U);
}

/** A server and a client, with their own budgets. */
class BufferBudgetHttpTest : public testing::Test {
protected:
    asio::io_context context;
    std::shared_ptr<BufferBudget> serverBuffers = std::make_shared<BufferBudget>(1'000'000);
    std::shared_ptr<BufferBudget> clientBuffers = std::make_shared<BufferBudget>(1'000'000);
    std::string answer = "answer";
    int served = 0;

    /** The response to a request, or the error of the client. */
    std::optional<Response> send(std::string body, Error& reason)
    {
        const auto server = std::make_shared<Server>(
            this->context.get_executor(),
            ServerOptions { .listen = { .address = "127.0.0.1" }, .buffers = this->serverBuffers },
            [this](const Request&, ResponseWriter& writer) -> Task<void> {
                ++this->served;
                Response response { .body = this->answer };
                (void)co_await writer.send(std::move(response));
            },
            [](RequestFailure) {});
        const auto endpoint = server->start();
        Client client { this->context.get_executor(), { .server = *endpoint, .buffers = this->clientBuffers } };
        auto result = asio::co_spawn(
            this->context,
            [&]() -> Task<std::optional<Response>> {
                auto response = co_await client.send(makeRequest("POST", "/", std::move(body)), {}, reason);
                server->abort();
                co_return response;
            },
            asio::use_future);
        this->context.restart();
        this->context.run();
        return result.get();
    }
};

// Guards against a request that is refused for lack of memory without an answer, or after a part of it was kept.
TEST_F(BufferBudgetHttpTest, RequestWithoutMemoryIsRefused)
{
    Error reason;
    const auto response = this->send(std::string(900'000, 'x'), reason);
    ASSERT_FALSE(response) << "the client has no memory for its request";
    this->clientBuffers = nullptr;
    const auto refused = this->send(std::string(900'000, 'x'), reason);
    ASSERT_TRUE(refused) << reason.detail;
    EXPECT_EQ(refused->status, 503U);
    EXPECT_EQ(this->served, 0);
    EXPECT_EQ(this->serverBuffers->used(), 0U);
    EXPECT_EQ(this->send(std::string(400'000, 'x'), reason)->status, 200U);
}

// Guards against a response that takes more memory than the process has.
TEST_F(BufferBudgetHttpTest, ResponseWithoutMemoryIsNotRead)
{
    this->answer = std::string(900'000, 'x');
    Error reason;
    EXPECT_FALSE(this->send("body", reason));
    EXPECT_EQ(reason.code, ErrorCode::NoMemory);
    EXPECT_EQ(this->clientBuffers->used(), 0U);
    this->answer = std::string(400'000, 'x');
    EXPECT_TRUE(this->send("body", reason));
}

} // namespace
} // namespace chivewinch::http
