#include "base/random.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "http/sse.hpp"
#include "support/schedules.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <cstdlib>
#include <string>
#include <vector>

namespace chivewinch::http {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Tcp = asio::ip::tcp;

/** Number of inputs of a test; the environment variable CHIVEWINCH_FUZZ_INPUTS overrides it for manual runs. */
std::uint64_t inputCount(std::uint64_t usual)
{
    const auto* chosen = std::getenv("CHIVEWINCH_FUZZ_INPUTS");
    return chosen != nullptr ? std::strtoull(chosen, nullptr, 10) : support::schedulesToRun(usual);
}

/** Changes a message at up to three random places; inserted text mostly affects the framing. */
std::string mutate(std::string text, base::RandomSource& random)
{
    static const std::vector<std::string> pieces { "\r\n", "\n", "\r\n\r\n", ":", " ", "0", "1", "-", ";x", "ff",
        "Content-Length: 3\r\n", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n", "HTTP/1.0",
        std::string(1, '\0'), "GET /other HTTP/1.1\r\nHost: b\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n" };
    for (auto changes = random.below(4); changes > 0 && !text.empty(); --changes) {
        const auto at = random.below(text.size());
        switch (random.below(4)) {
        case 0:
            text.erase(at, 1 + random.below(8));
            break;
        case 1:
            text[at] = static_cast<char>(random.below(256));
            break;
        case 2:
            text.resize(at);
            break;
        default:
            text.insert(at, pieces[random.below(pieces.size())]);
        }
    }
    return text;
}

/** Sends bytes, shuts down the sending side, and returns all bytes that the server sends until it closes. */
Task<std::string> sendAndReadAll(settings::Endpoint endpoint, std::string bytes)
{
    Tcp::socket socket { co_await asio::this_coro::executor };
    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    (void)co_await socket.async_connect({ asio::ip::make_address(endpoint.address), endpoint.port }, token);
    (void)co_await asio::async_write(socket, asio::buffer(bytes), token);
    boost::system::error_code ignored;
    socket.shutdown(Tcp::socket::shutdown_send, ignored);
    std::string answer;
    (void)co_await asio::async_read(socket, asio::dynamic_buffer(answer), token);
    co_return answer;
}

std::size_t countOf(std::string_view text, std::string_view part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string_view::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

// Guards against a crash, against a request that is served without a response, and against further responses after one
// that rejects a request as invalid: the bytes after an invalid request may belong to another message.
TEST(HttpFuzzTest, ServerRespondsToServedRequestsAndClosesAfterErrors)
{
    const std::string requests = "POST /first HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"
                                 "POST /second HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                                 "3\r\nabc\r\n0\r\n\r\nGET /third HTTP/1.1\r\nHost: a\r\n\r\n";
    asio::io_context context { 1 };
    std::size_t served = 0;
    auto server = std::make_shared<Server>(
        context.get_executor(),
        ServerOptions { .listen = { .address = "127.0.0.1" },
            .maxHeaderBytes = 2048,
            .maxBodyBytes = 4096,
            .requestTimeout = 200ms,
            .idleTimeout = 400ms },
        [&served](const Request&, ResponseWriter& writer) -> Task<void> {
            ++served;
            // Not passed as a temporary: GCC 12 destroys aggregate temporaries in a co_await expression twice.
            Response response { .body = "served" };
            (void)co_await writer.send(std::move(response));
        },
        [](RequestFailure) {});
    const auto endpoint = server->start();
    ASSERT_TRUE(endpoint);
    const auto runInputs = [&]() -> Task<void> {
        const auto count = inputCount(3'000);
        for (std::uint64_t seed = 1; seed <= count; ++seed) {
            base::SeededRandom random { seed };
            served = 0;
            const auto bytes = mutate(requests, random);
            const auto answer = co_await sendAndReadAll(*endpoint, bytes);
            EXPECT_EQ(countOf(answer, " 200 OK\r\n"), served) << "seed " << seed;
            const auto refusal = answer.find("HTTP/1.1 4");
            if (refusal != std::string::npos) {
                EXPECT_EQ(answer.find("HTTP/1.1 ", refusal + 1), std::string::npos) << "seed " << seed;
            }
        }
        served = 0;
        (void)co_await sendAndReadAll(*endpoint, requests);
        EXPECT_EQ(served, 3U) << "the server no longer serves valid requests";
        server->abort();
        context.stop();
    };
    asio::co_spawn(context, runInputs(), asio::detached);
    context.run();
}

/** Answers the first request with the given bytes, and all later requests on any connection with a valid response. */
class ScriptedServer {
public:
    explicit ScriptedServer(asio::io_context& context)
        : context { context }
        , acceptor { context, Tcp::endpoint { asio::ip::make_address("127.0.0.1"), 0 } }
    {
        asio::co_spawn(context, this->accept(), asio::detached);
    }

    std::string firstResponse;
    bool isFirst = true;

    [[nodiscard]] settings::Endpoint endpoint() const
    {
        return { .address = "127.0.0.1", .port = this->acceptor.local_endpoint().port() };
    }

private:
    static constexpr auto token = asio::as_tuple(asio::use_awaitable);

    asio::io_context& context;
    Tcp::acceptor acceptor;

    Task<void> accept()
    {
        while (true) {
            auto [error, socket] = co_await this->acceptor.async_accept(token);
            if (error)
                co_return;
            asio::co_spawn(this->context, this->serve(std::move(socket)), asio::detached);
        }
    }

    Task<void> serve(Tcp::socket socket)
    {
        std::string head;
        while (true) {
            const auto [error, count]
                = co_await asio::async_read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", token);
            if (error)
                co_return;
            head.erase(0, count);
            const bool wasFirst = std::exchange(this->isFirst, false);
            const std::string answer
                = wasFirst ? this->firstResponse : "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
            (void)co_await asio::async_write(socket, asio::buffer(answer), token);
        }
    }
};

// Guards against a response that contains bytes of an earlier response, whatever the framing of the earlier response.
TEST(HttpFuzzTest, ClientNeverReadsBytesOfEarlierResponse)
{
    const std::vector<std::string> answers { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n",
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n" };
    asio::io_context context { 1 };
    ScriptedServer server { context };
    const auto runInputs = [&]() -> Task<void> {
        const auto count = inputCount(1'500);
        for (std::uint64_t seed = 1; seed <= count; ++seed) {
            base::SeededRandom random { seed };
            server.firstResponse = mutate(answers[random.below(answers.size())], random);
            server.isFirst = true;
            Client client { context.get_executor(),
                { .server = server.endpoint(), .readTimeout = 3ms, .maxBodyBytes = 4096 } };
            Error reason;
            const SendOptions options;
            (void)co_await client.send(makeRequest("GET", "/"), options, reason);
            const SendOptions longTimeout { .readTimeout = 500ms };
            const auto second = co_await client.send(makeRequest("GET", "/"), longTimeout, reason);
            if (second) {
                EXPECT_EQ(second->body, "good") << "seed " << seed;
            }
        }
        context.stop();
    };
    asio::co_spawn(context, runInputs(), asio::detached);
    context.run();
}

// Guards against bytes that the parser loses or duplicates, and against events that depend on how TCP splits a stream.
TEST(HttpFuzzTest, EventsDoNotDependOnReadBoundaries)
{
    const auto count = inputCount(20'000);
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        base::SeededRandom random { seed };
        const auto text = mutate("id: 1\ndata: a\n\n: note\n\nid: 2\r\ndata: b\r\n\r\ndata: [DONE]\n\n", random);
        std::vector<std::string> whole;
        EventSplitter atOnce;
        atOnce.append(text);
        std::string joined;
        while (auto event = atOnce.next()) {
            joined += *event;
            whole.push_back(std::move(*event));
        }
        joined += atOnce.rest();
        ASSERT_EQ(joined, text) << "seed " << seed;
        std::vector<std::string> cut;
        EventSplitter inPieces;
        for (std::size_t at = 0; at < text.size();) {
            const auto length = 1 + random.below(7);
            inPieces.append(std::string_view { text }.substr(at, length));
            at += length;
            while (auto event = inPieces.next())
                cut.push_back(std::move(*event));
        }
        ASSERT_EQ(cut, whole) << "seed " << seed;
    }
}

} // namespace
} // namespace chivewinch::http
