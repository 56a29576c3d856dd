#include "http/client.hpp"
#include "http/server.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <stdexcept>
#include <thread>

namespace chivewinch::http {

namespace asio = boost::asio;
using namespace std::chrono_literals;

class ServerTest : public testing::Test {
protected:
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work { this->context.get_executor() };
    std::shared_ptr<Server> server;
    settings::Endpoint endpoint;
    std::array<std::atomic<int>, static_cast<std::size_t>(RequestFailure::Count)> requestFailures {};
    std::jthread thread;

    void serve(Server::Handler handler)
    {
        this->server = std::make_shared<Server>(this->context.get_executor(),
            ServerOptions { .listen = { .address = "127.0.0.1" },
                .maxHeaderBytes = 2048,
                .maxBodyBytes = 4096,
                .requestTimeout = 200ms,
                .idleTimeout = 400ms },
            std::move(handler),
            [this](RequestFailure kind) { ++this->requestFailures[static_cast<std::size_t>(kind)]; });
        const auto bound = this->server->start();
        ASSERT_TRUE(bound) << this->server->lastReason();
        this->endpoint = *bound;
        this->thread = std::jthread { [this] { this->context.run(); } };
    }

    void TearDown() override
    {
        if (this->server)
            this->server->abort();
        this->work.reset();
        this->context.stop();
    }

    std::optional<Response> request(Request message)
    {
        auto task = [this](Request copy) -> Task<std::optional<Response>> {
            const auto executor = co_await asio::this_coro::executor;
            Client client { executor, ClientOptions { .server = this->endpoint } };
            Error reason;
            const SendOptions options;
            co_return co_await client.send(std::move(copy), options, reason);
        };
        return asio::co_spawn(asio::make_strand(this->context), task(std::move(message)), asio::use_future).get();
    }

    /** Sends raw bytes and reads until the server closes the connection. */
    std::string sendRaw(const std::string& bytes)
    {
        asio::io_context own;
        asio::ip::tcp::socket socket { own };
        socket.connect({ asio::ip::make_address(this->endpoint.address), this->endpoint.port });
        boost::system::error_code error;
        asio::write(socket, asio::buffer(bytes), error);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), error);
        return answer;
    }

    /** Number of request failures of a kind. Waits up to a second for the first one. */
    int failureCount(RequestFailure kind)
    {
        const auto& count = this->requestFailures[static_cast<std::size_t>(kind)];
        // After a timeout, the caller sees the closed connection before the server's coroutine resumes.
        for (int i = 0; i < 200 && count == 0; ++i)
            std::this_thread::sleep_for(5ms);
        return count;
    }
};

TEST_F(ServerTest, SendsCompleteAndChunkedResponses)
{
    this->serve([](const Request& request, ResponseWriter& writer) -> Task<void> {
        if (pathOf(request) == "/whole") {
            Response echo { .body = request.body(), .headers = { { "X-A", "b" } } };
            (void)co_await writer.send(std::move(echo));
            co_return;
        }
        const Response head { .contentType = "text/event-stream" };
        (void)co_await writer.start(head);
        for (int i = 0; i < 3; ++i)
            (void)co_await writer.write("part " + std::to_string(i) + "\n");
        (void)co_await writer.finish();
    });
    EXPECT_EQ(this->request(makeRequest("POST", "/whole?q=1", "text"))->body, "text");
    EXPECT_EQ(this->request(makeRequest("GET", "/chunks"))->body, "part 0\npart 1\npart 2\n");
}

// Guards against malicious input that crashes the server or keeps a connection open forever.
TEST_F(ServerTest, RejectsAndCountsInvalidRequests)
{
    this->serve([](const Request&, ResponseWriter& writer) -> Task<void> {
        Response answer { .body = "ok" };
        (void)co_await writer.send(std::move(answer));
    });
    EXPECT_NE(this->sendRaw("garbage\r\n\r\n").find(" 400 "), std::string::npos);
    EXPECT_NE(
        this->sendRaw("GET / HTTP/1.1\r\nX: " + std::string(4000, 'x') + "\r\n\r\n").find(" 431 "), std::string::npos);
    EXPECT_NE(this->sendRaw("POST / HTTP/1.1\r\nContent-Length: 9999\r\n\r\n").find(" 413 "), std::string::npos);
    EXPECT_EQ(this->sendRaw("POST / HTTP/1.1\r\nContent-Length: 99\r\n\r\nslow"), "");
    EXPECT_EQ(this->failureCount(RequestFailure::Malformed), 1);
    EXPECT_EQ(this->failureCount(RequestFailure::HeaderTooLarge), 1);
    EXPECT_EQ(this->failureCount(RequestFailure::BodyTooLarge), 1);
    EXPECT_EQ(this->failureCount(RequestFailure::RequestTimeout), 1);
    EXPECT_EQ(this->request(makeRequest("GET", "/"))->body, "ok");
}

// Guards against a shutdown that drops requests which the operating system has already received, either on an idle
// connection or on one that the process has not accepted yet.
TEST_F(ServerTest, DrainServesReceivedRequests)
{
    this->server = std::make_shared<Server>(
        this->context.get_executor(), ServerOptions { .listen = { .address = "127.0.0.1" } },
        [](const Request&, ResponseWriter& writer) -> Task<void> {
            Response answer { .body = "ok" };
            (void)co_await writer.send(std::move(answer));
        },
        [](RequestFailure) {});
    this->endpoint = this->server->start().value();
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    asio::io_context own;
    const auto connect = [&] {
        asio::ip::tcp::socket socket { own };
        socket.connect({ asio::ip::make_address(this->endpoint.address), this->endpoint.port });
        asio::write(socket, asio::buffer(request));
        return socket;
    };
    auto kept = connect();
    this->context.run_for(50ms);
    std::string first(1'000, '\0');
    first.resize(kept.read_some(asio::buffer(first)));
    EXPECT_TRUE(first.ends_with("ok"));

    asio::write(kept, asio::buffer(request));
    auto pending = connect();
    this->server->drain();
    this->context.run_for(100ms);
    EXPECT_TRUE(this->server->idle());
    for (auto* socket : { &kept, &pending }) {
        boost::system::error_code error;
        std::string answer;
        asio::read(*socket, asio::dynamic_buffer(answer), error);
        EXPECT_TRUE(answer.ends_with("ok")) << answer;
    }
}

// Guards against a shutdown that aborts a request in flight.
TEST_F(ServerTest, DrainFinishesOpenRequests)
{
    std::atomic<bool> entered { false };
    this->serve([&entered](const Request&, ResponseWriter& writer) -> Task<void> {
        entered = true;
        asio::steady_timer pause { co_await asio::this_coro::executor, 150ms };
        co_await pause.async_wait(asio::use_awaitable);
        Response answer { .body = "late" };
        (void)co_await writer.send(std::move(answer));
    });
    std::optional<Response> answer;
    std::jthread caller { [&] { answer = this->request(makeRequest("GET", "/")); } };
    while (!entered)
        std::this_thread::sleep_for(1ms);
    this->server->drain();
    EXPECT_EQ(this->server->openRequests(), 1U);
    caller.join();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, "late");
    EXPECT_FALSE(this->request(makeRequest("GET", "/")));
}

// Guards against a disconnect watch that blocks its thread when a socket is reported as readable although no data is
// available. With a blocking receive, 5 of 12,533 requests on reused connections hung.
TEST_F(ServerTest, WatchedKeepAliveRequestsComplete)
{
    constexpr int connections = 3;
    constexpr int requestsPerConnection = 3000;
    this->serve([](const Request&, ResponseWriter& writer) -> Task<void> {
        const auto executor = co_await asio::this_coro::executor;
        asio::cancellation_signal signal;
        asio::steady_timer ended { executor, asio::steady_timer::time_point::max() };
        bool running = true;
        asio::co_spawn(executor, writer.waitForDisconnect(),
            asio::bind_cancellation_slot(signal.slot(), [&running, &ended](const std::exception_ptr&) {
                running = false;
                ended.cancel();
            }));
        Response answer { .body = "ok" };
        (void)co_await writer.send(std::move(answer));
        signal.emit(asio::cancellation_type::all);
        while (running)
            co_await ended.async_wait(asio::as_tuple(asio::use_awaitable));
    });
    auto callMany = [this]() -> Task<int> {
        const auto executor = co_await asio::this_coro::executor;
        Client client { executor, ClientOptions { .server = this->endpoint } };
        SendOptions options;
        options.readTimeout = 5s;
        int answered = 0;
        for (int i = 0; i < requestsPerConnection; ++i) {
            Error reason;
            const auto response = co_await client.send(makeRequest("GET", "/"), options, reason);
            answered += response ? 1 : 0;
        }
        co_return answered;
    };
    std::vector<std::future<int>> results;
    for (int i = 0; i < connections; ++i)
        results.push_back(asio::co_spawn(asio::make_strand(this->context), callMany, asio::use_future));
    for (auto& result : results)
        EXPECT_EQ(result.get(), requestsPerConnection);
}

// Guards against a count of open requests that stays above zero, so that every drain lasts until its timeout.
TEST_F(ServerTest, FailedHandlerEndsItsRequest)
{
    this->serve([](const Request&, ResponseWriter&) -> Task<void> {
        throw std::runtime_error { "fault" };
        co_return;
    });
    EXPECT_FALSE(this->request(makeRequest("GET", "/")));
    EXPECT_EQ(this->failureCount(RequestFailure::HandlerFailed), 1);
    for (int i = 0; i < 200 && this->server->openRequests() > 0; ++i)
        std::this_thread::sleep_for(5ms);
    EXPECT_EQ(this->server->openRequests(), 0U);
}

TEST_F(ServerTest, DetectsDisconnectedCaller)
{
    std::atomic<bool> noticed { false };
    this->serve([&noticed](const Request&, ResponseWriter& writer) -> Task<void> {
        co_await writer.waitForDisconnect();
        noticed = true;
    });
    {
        asio::io_context own;
        asio::ip::tcp::socket socket { own };
        socket.connect({ asio::ip::make_address(this->endpoint.address), this->endpoint.port });
        asio::write(socket, asio::buffer(std::string { "GET / HTTP/1.1\r\nHost: a\r\n\r\n" }));
        std::this_thread::sleep_for(50ms);
        EXPECT_FALSE(noticed);
    }
    for (int i = 0; i < 200 && !noticed; ++i)
        std::this_thread::sleep_for(5ms);
    EXPECT_TRUE(noticed);
}

} // namespace chivewinch::http
