#include "http/client.hpp"
#include "http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <thread>

namespace chivewinch::http {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Tcp = asio::ip::tcp;

/**
 * Server that writes a fixed response after each request header, then optionally more bytes at intervals of 30 ms.
 * Counts its connections.
 */
class RawServer {
public:
    explicit RawServer(std::string answer, std::string laterBytes = {}, int repetitions = 1)
        : answer { std::move(answer) }
        , laterBytes { std::move(laterBytes) }
        , repetitions { repetitions }
        , acceptor { this->context, Tcp::endpoint { asio::ip::make_address("127.0.0.1"), 0 } }
        , thread { [this] { this->run(); } }
    {
    }
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;
    ~RawServer()
    {
        this->isStopped = true;
        boost::system::error_code ignored;
        Tcp::socket last { this->context };
        last.connect(this->acceptor.local_endpoint(), ignored);
        last.close(ignored);
        this->thread.join();
        for (auto& other : this->open)
            other.join();
    }

    [[nodiscard]] settings::Endpoint endpoint() const
    {
        return { .address = "127.0.0.1", .port = this->acceptor.local_endpoint().port() };
    }
    [[nodiscard]] int connections() const { return this->accepted; }

private:
    asio::io_context context;
    std::string answer;
    std::string laterBytes;
    int repetitions;
    Tcp::acceptor acceptor;
    std::atomic<int> accepted { 0 };
    std::atomic<bool> isStopped { false };
    std::vector<std::thread> open;
    std::thread thread;

    void run()
    {
        while (true) {
            Tcp::socket socket { this->context };
            this->acceptor.accept(socket);
            if (this->isStopped)
                return;
            ++this->accepted;
            this->open.emplace_back([this, kept = std::move(socket)]() mutable { this->serve(kept); });
        }
    }

    void serve(Tcp::socket& socket)
    {
        boost::system::error_code error;
        std::string head;
        while (!error) {
            const auto count = asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", error);
            if (error)
                return;
            head.erase(0, count);
            asio::write(socket, asio::buffer(this->answer), error);
            if (this->laterBytes.empty())
                continue;
            for (int i = 0; i < this->repetitions && !error; ++i) {
                std::this_thread::sleep_for(30ms);
                asio::write(socket, asio::buffer(this->laterBytes), error);
            }
        }
    }
};

/** Sends two requests in sequence with one client; returns the bodies of the responses. */
std::vector<std::string> sendTwoRequests(const settings::Endpoint& endpoint)
{
    asio::io_context context;
    const auto task = [&]() -> Task<std::vector<std::string>> {
        Client client { context.get_executor(), { .server = endpoint, .readTimeout = 1s } };
        std::vector<std::string> bodies;
        for (int i = 0; i < 2; ++i) {
            Error reason;
            const SendOptions options;
            const auto response = co_await client.send(makeRequest("GET", "/"), options, reason);
            bodies.push_back(response ? response->body : "error: " + reason.detail);
            asio::steady_timer pause { context, 80ms };
            co_await pause.async_wait(asio::use_awaitable);
        }
        co_return bodies;
    };
    auto result = asio::co_spawn(context, task(), asio::use_future);
    context.run();
    return result.get();
}

const std::string validResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
const std::string extraResponse = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad";

TEST(ClientFraming, ReusesConnectionAfterCompleteResponse)
{
    RawServer server { validResponse };
    EXPECT_EQ(sendTwoRequests(server.endpoint()), (std::vector<std::string> { "good", "good" }));
    EXPECT_EQ(server.connections(), 1);
}

// Guards against a response that belongs to another request: bytes after a response would be read as the next response.
TEST(ClientFraming, ClosesConnectionWithBytesAfterResponse)
{
    RawServer server { validResponse + extraResponse };
    EXPECT_EQ(sendTwoRequests(server.endpoint()), (std::vector<std::string> { "good", "good" }));
    EXPECT_EQ(server.connections(), 2);
}

TEST(ClientFraming, ClosesIdleConnectionWithUnexpectedBytes)
{
    RawServer server { validResponse, extraResponse };
    EXPECT_EQ(sendTwoRequests(server.endpoint()), (std::vector<std::string> { "good", "good" }));
    EXPECT_EQ(server.connections(), 2);
}

// Guards against a request that is lost because the server closes the idle connection at the same time.
TEST(ClientFraming, HonoursKeepAliveTimeout)
{
    RawServer server { "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 4\r\n\r\ngood" };
    EXPECT_EQ(sendTwoRequests(server.endpoint()), (std::vector<std::string> { "good", "good" }));
    EXPECT_EQ(server.connections(), 2);
}

/** Sends a request and reads its response; the stream remains for questions about its connection. */
Task<std::unique_ptr<ResponseStream>> sendAndRead(Client& client, SendOptions options)
{
    Error reason;
    auto stream = co_await client.open(makeRequest("GET", "/"), options, reason);
    if (!stream)
        co_return nullptr;
    stream->recordAnswered();
    while (true) {
        const auto bytes = co_await stream->read(reason);
        if (!bytes || bytes->empty())
            co_return stream;
    }
}

// Guards against an answer on a younger connection that is taken for a sign of the process that sent an earlier one.
TEST(ClientWitness, OnlyOlderConnectionsShowThatTheSenderRuns)
{
    for (const bool keepsWitness : { false, true }) {
        RawServer server { validResponse };
        asio::io_context context;
        const auto task = [&]() -> Task<void> {
            Client client { context.get_executor(), { .server = server.endpoint(), .readTimeout = 1s } };
            if (keepsWitness)
                client.keepWitness();
            for (int i = 0; i < 3; ++i) {
                const SendOptions fresh { .freshConnection = true };
                const SendOptions oldest { .oldestConnection = true };
                const auto response = co_await sendAndRead(client, fresh);
                EXPECT_NE(response, nullptr);
                if (!response)
                    co_return;
                const auto end = client.nextEvent();
                EXPECT_FALSE(client.senderRanAt(*response, end));
                // Without a witness, the first response has the oldest connection.
                const auto later = co_await sendAndRead(client, oldest);
                EXPECT_NE(later, nullptr);
                EXPECT_TRUE(client.senderRanAt(*response, end) || (!keepsWitness && i == 0));
                client.closeIdleConnections();
                const auto last = co_await sendAndRead(client, oldest);
                EXPECT_NE(last, nullptr);
                EXPECT_FALSE(client.senderRanAt(*response, client.nextEvent())) << "no connection is older";
            }
        };
        auto result = asio::co_spawn(context, task(), asio::use_future);
        context.run();
        result.get();
    }
}

/** Sends one request and returns its error. */
Error sendOneRequest(const settings::Endpoint& endpoint)
{
    asio::io_context context;
    const auto task = [&]() -> Task<Error> {
        Client client { context.get_executor(),
            { .server = endpoint, .readTimeout = 200ms, .maxBodyBytes = 1U << 20, .maxHeadBytes = 8U << 10 } };
        Error reason;
        const SendOptions options;
        (void)co_await client.send(makeRequest("GET", "/"), options, reason);
        co_return reason;
    };
    auto result = asio::co_spawn(context, task(), asio::use_future);
    context.run();
    return result.get();
}

// Guards against unbounded memory use, and against a connection that stays open, while a faulty server sends bytes that
// form no valid response.
TEST(ClientFraming, RejectsUnboundedInput)
{
    std::string lines;
    std::string informational;
    for (int i = 0; i < 200'000; ++i)
        lines += "X-Field: value\r\n";
    for (int i = 0; i < 100'000; ++i)
        informational += "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string filler(4U << 20, 'x');
    const std::vector<std::string> answers { head + lines, head + "X-Long: " + filler, std::string(4U << 20, '\n'),
        filler, head + "\r\n" + filler, chunked + "1;" + filler, chunked + "0\r\n" + lines, chunked + filler };
    for (const auto& answer : answers) {
        RawServer server { answer };
        const auto startTime = std::chrono::steady_clock::now();
        EXPECT_EQ(sendOneRequest(server.endpoint()).code, ErrorCode::InvalidResponse) << answer.substr(0, 60);
        EXPECT_LT(std::chrono::steady_clock::now() - startTime, 1'500ms) << answer.substr(0, 60);
    }
    // The client treats the first informational response as the response. The bytes after it must not be read as the
    // response to the next request.
    RawServer server { informational };
    EXPECT_EQ(sendOneRequest(server.endpoint()).code, ErrorCode::None);
}

// Guards against a number that is no status of HTTP and is taken for an answer, by whatever reads it.
TEST(ClientFraming, RejectsInvalidStatuses)
{
    for (const std::string status : { "000", "001", "099", "600", "601", "999", "0", "20", "1000", "-20", "2 0", "" }) {
        for (const std::string version : { "1.1", "1.0" }) {
            RawServer server { "HTTP/" + version + " " + status + " X\r\nContent-Length: 0\r\n\r\n" };
            EXPECT_EQ(sendOneRequest(server.endpoint()).code, ErrorCode::InvalidResponse) << version << " " << status;
        }
    }
    for (const std::string status : { "200", "404", "599" }) {
        RawServer server { "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n" };
        EXPECT_EQ(sendOneRequest(server.endpoint()).code, ErrorCode::None) << status;
    }
}

// Guards against a response that never ends because single bytes arrive within each read timeout.
TEST(ClientFraming, TimesOutSlowEndlessResponse)
{
    RawServer server { "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", "x", 100 };
    const auto startTime = std::chrono::steady_clock::now();
    EXPECT_EQ(sendOneRequest(server.endpoint()).code, ErrorCode::NoResponse);
    EXPECT_LT(std::chrono::steady_clock::now() - startTime, 1'500ms);
}

class ServerFraming : public testing::Test {
protected:
    ServerFraming()
        : server { std::make_shared<Server>(
            this->context.get_executor(),
            ServerOptions { .listen = { .address = "127.0.0.1" }, .requestTimeout = 300ms, .idleTimeout = 300ms },
            [this](const Request& request, ResponseWriter& writer) -> Task<void> {
                ++this->served;
                Response echo { .body = request.body() };
                (void)co_await writer.send(std::move(echo));
            },
            [](RequestFailure) {}) }
    {
        this->endpoint = this->server->start().value();
        this->thread = std::jthread { [this] { this->context.run(); } };
    }
    ~ServerFraming() override
    {
        this->server->abort();
        this->work.reset();
        this->context.stop();
    }

    /** Sends bytes and reads until the server closes the connection. */
    std::string sendRaw(const std::string& bytes)
    {
        asio::io_context own;
        Tcp::socket socket { own };
        socket.connect({ asio::ip::make_address(this->endpoint.address), this->endpoint.port });
        boost::system::error_code error;
        asio::write(socket, asio::buffer(bytes), error);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), error);
        return answer;
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work { this->context.get_executor() };
    std::atomic<int> served { 0 };
    std::shared_ptr<Server> server;
    settings::Endpoint endpoint;
    std::jthread thread;
};

// Guards against request smuggling: an intermediary could interpret the host or the end of these requests differently.
// The second request after each of them must not be served.
TEST_F(ServerFraming, RejectsAmbiguousRequestsAndCloses)
{
    const std::string second = "GET /second HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::vector<std::string> ambiguousRequests { "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n" };
    for (const auto& bytes : ambiguousRequests) {
        const auto answer = this->sendRaw(bytes + second);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 400 ")) << bytes << answer;
        EXPECT_EQ(answer.find("200 OK"), std::string::npos) << bytes << answer;
    }
    EXPECT_EQ(this->served, 0);
}

// Guards against callers that send an unbounded amount of data.
TEST_F(ServerFraming, RejectsUnboundedInput)
{
    std::string lines;
    for (int i = 0; i < 100'000; ++i)
        lines += "X-Field: value\r\n";
    const std::string filler(2U << 20, 'x');
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (const auto& bytes : { head + lines, head + "X-Long: " + filler, std::string(2U << 20, '\n'), filler,
             chunked + "1;" + filler, chunked + "0\r\n" + lines }) {
        const auto startTime = std::chrono::steady_clock::now();
        EXPECT_EQ(this->sendRaw(bytes).find("200 OK"), std::string::npos);
        EXPECT_LT(std::chrono::steady_clock::now() - startTime, 1'500ms) << bytes.substr(0, 60);
    }
    EXPECT_EQ(this->served, 0);
}

TEST_F(ServerFraming, ServesValidRequests)
{
    EXPECT_TRUE(this->sendRaw("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                              "2\r\nhi\r\n0\r\n\r\n")
                    .ends_with("hi"));
    EXPECT_TRUE(this->sendRaw("GET / HTTP/1.0\r\n\r\n").starts_with("HTTP/1.0 200"));
}

// Guards against changed limits that take effect only after a restart.
TEST_F(ServerFraming, AppliesChangedLimits)
{
    this->server->setLimits(
        { .maxHeaderBytes = 4096, .maxBodyBytes = 3, .requestTimeout = 300ms, .idleTimeout = 300ms });
    EXPECT_TRUE(
        this->sendRaw("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody").starts_with("HTTP/1.1 413"));
}

// Guards against a request on a kept connection that is judged by the limits of before the connection was idle.
TEST_F(ServerFraming, AppliesChangedLimitsToTheNextRequestOfAnIdleConnection)
{
    const InputLimits small { .maxHeaderBytes = 4096, .maxBodyBytes = 3, .requestTimeout = 3s, .idleTimeout = 3s };
    const InputLimits large { .maxHeaderBytes = 65536, .maxBodyBytes = 4, .requestTimeout = 3s, .idleTimeout = 3s };
    const std::string longBody = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody";
    const auto longHead = "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(30'000, 'x') + "\r\n\r\n";
    struct Case {
        InputLimits before;
        InputLimits after;
        std::string request;
        std::string status;
    };
    for (const auto& [before, after, request, status] :
        { Case { small, large, longBody, "200" }, Case { small, large, longHead, "200" },
            Case { large, small, longBody, "413" }, Case { large, small, longHead, "431" } }) {
        this->server->setLimits(before);
        asio::io_context own;
        Tcp::socket socket { own };
        socket.connect({ asio::ip::make_address(this->endpoint.address), this->endpoint.port });
        const auto statusOf = [&socket](const std::string& sent) {
            boost::system::error_code error;
            asio::write(socket, asio::buffer(sent), error);
            std::string answer;
            asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n", error);
            return answer.substr(std::string { "HTTP/1.1 " }.size(), 3);
        };
        EXPECT_EQ(statusOf("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), "200");
        // The connection is idle when the limits change.
        std::this_thread::sleep_for(50ms);
        this->server->setLimits(after);
        EXPECT_EQ(statusOf(request), status) << request.substr(0, 40);
    }
}

} // namespace
} // namespace chivewinch::http
