#include "base/random.hpp"
#include "transport/session.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace chivewinch::transport {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Tcp = asio::ip::tcp;

namespace {

struct Recorder final : StreamObserver {
    std::string data;
    std::optional<Error> closed;
    bool ended = false;
    int writableCount = 0;
    std::function<void(std::string_view)> forward;

    void onData(std::string_view bytes) override
    {
        this->data += bytes;
        if (this->forward)
            this->forward(bytes);
    }
    void onEnd() override { this->ended = true; }
    void onWritable() override { ++this->writableCount; }
    void onClose(const Error& error) override { this->closed = error; }
};

} // namespace

class SessionTest : public testing::Test {
protected:
    asio::io_context context;
    std::shared_ptr<Session> client;
    std::shared_ptr<Session> server;
    std::map<StreamId, std::shared_ptr<Recorder>> accepted;
    std::optional<Error> serverClosed;

    std::pair<Tcp::socket, Tcp::socket> connectedSockets()
    {
        Tcp::acceptor acceptor { this->context, { asio::ip::make_address("127.0.0.1"), 0 } };
        Tcp::socket first { this->context };
        first.connect(acceptor.local_endpoint());
        return { std::move(first), acceptor.accept() };
    }

    void startServer(Tcp::socket socket, const SessionOptions& options)
    {
        this->server = Session::server(
            std::move(socket), options,
            [this](const auto&, StreamId stream, std::string_view path) -> std::shared_ptr<StreamObserver> {
                if (path != "/attempt")
                    return nullptr;
                return this->accepted[stream] = std::make_shared<Recorder>();
            },
            [this](const Error& error) { this->serverClosed = error; });
        this->server->start();
    }

    void connect(const SessionOptions& options = {})
    {
        auto [first, second] = this->connectedSockets();
        this->startServer(std::move(second), options);
        this->client = Session::client(std::move(first), options, [](const Error&) {});
        this->client->start();
        this->run();
    }

    void run(std::chrono::milliseconds duration = 50ms)
    {
        this->context.restart();
        this->context.run_for(duration);
    }
};

// Guards against mixing the responses of different requests on one connection.
TEST_F(SessionTest, StreamsExchangeBytesIndependently)
{
    this->connect();
    std::vector<std::shared_ptr<Recorder>> observers;
    for (int i = 0; i < 20; ++i) {
        observers.push_back(std::make_shared<Recorder>());
        const auto stream = this->client->open("/attempt", observers.back());
        this->client->send(stream, "request " + std::to_string(i));
        this->client->finish(stream);
    }
    this->run();
    ASSERT_EQ(this->accepted.size(), 20U);
    for (auto& [stream, recorder] : this->accepted) {
        EXPECT_TRUE(recorder->ended);
        this->server->send(stream, "answer to " + recorder->data);
        this->server->finish(stream);
    }
    this->run();
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(observers[i]->data, "answer to request " + std::to_string(i));
        EXPECT_EQ(observers[i]->closed, Error {});
    }
    EXPECT_EQ(this->client->streamCount(), 0U);
}

// Guards against a slow caller that causes unbounded memory use or blocks other streams.
TEST_F(SessionTest, UnconsumedStreamBlocksOnlyItsSender)
{
    this->connect({ .streamWindowBytes = 1U << 16, .lowWaterBytes = 1U << 10 });
    auto slow = std::make_shared<Recorder>();
    auto fast = std::make_shared<Recorder>();
    const auto slowStream = this->client->open("/attempt", slow);
    const auto fastStream = this->client->open("/attempt", fast);
    fast->forward = [&](std::string_view bytes) { this->client->consume(fastStream, bytes.size()); };
    this->run();

    const std::string payload(8U << 20, 'x');
    this->server->send(slowStream, payload);
    this->server->send(fastStream, payload);
    this->run(500ms);
    EXPECT_EQ(slow->data.size(), 1U << 16);
    EXPECT_EQ(fast->data.size(), payload.size());
    EXPECT_EQ(this->accepted[slowStream]->writableCount, 0);
    EXPECT_GE(this->accepted[fastStream]->writableCount, 1);

    this->client->consume(slowStream, slow->data.size());
    this->run(100ms);
    EXPECT_EQ(slow->data.size(), 1U << 17);
}

// Guards against reporting a request as "not run" although some of its bytes were sent.
TEST_F(SessionTest, ReportsWhetherBytesMayHaveBeenSent)
{
    this->connect();
    auto observer = std::make_shared<Recorder>();
    const auto stream = this->client->open("/attempt", observer);
    this->client->send(stream, "order");
    EXPECT_FALSE(this->client->mayHaveBeenSent(stream));
    this->run();
    EXPECT_TRUE(this->client->mayHaveBeenSent(stream));

    const auto unsent = this->client->open("/attempt", std::make_shared<Recorder>());
    this->client->send(unsent, "order");
    this->client->close();
    EXPECT_FALSE(this->client->mayHaveBeenSent(unsent));
    EXPECT_EQ(this->client->open("/attempt", observer), 0);
}

TEST_F(SessionTest, ResetAndRefusedStreamsLeaveOthersOpen)
{
    this->connect();
    auto refused = std::make_shared<Recorder>();
    auto cancelled = std::make_shared<Recorder>();
    auto open = std::make_shared<Recorder>();
    (void)this->client->open("/unknown", refused);
    const auto cancelledStream = this->client->open("/attempt", cancelled);
    const auto openStream = this->client->open("/attempt", open);
    this->run();
    this->client->reset(cancelledStream);
    this->run();
    EXPECT_EQ(refused->closed->code, ErrorCode::StreamReset);
    EXPECT_EQ(this->accepted[cancelledStream]->closed->code, ErrorCode::StreamReset);
    EXPECT_FALSE(open->closed);
    EXPECT_TRUE(this->client->send(openStream, "x"));
}

TEST_F(SessionTest, LostConnectionClosesEveryStream)
{
    this->connect();
    auto observer = std::make_shared<Recorder>();
    (void)this->client->open("/attempt", observer);
    this->run();
    this->server->close();
    this->run();
    EXPECT_EQ(observer->closed->code, ErrorCode::ConnectionLost);
    EXPECT_TRUE(this->client->closed());
}

// Guards against a half-open connection that stays open after a network switch has failed.
TEST_F(SessionTest, IdleTimeoutClosesSession)
{
    this->connect({ .idleTimeout = 100ms });
    this->run(300ms);
    ASSERT_TRUE(this->serverClosed);
    EXPECT_EQ(this->serverClosed->code, ErrorCode::IdleTimeout);
}

// Guards against a crash or a hang on input that is not valid HTTP/2.
TEST_F(SessionTest, GarbageClosesTheSession)
{
    constexpr std::uint64_t seed = 41;
    RecordProperty("seed", std::to_string(seed));
    base::SeededRandom random { seed };
    for (int i = 0; i < 50; ++i) {
        auto [peer, own] = this->connectedSockets();
        this->serverClosed.reset();
        this->startServer(std::move(own), {});
        std::string bytes = i % 2 == 0 ? "" : "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
        for (int byte = 0; byte < 200; ++byte)
            bytes += static_cast<char>(random.below(256));
        asio::write(peer, asio::buffer(bytes));
        peer.shutdown(Tcp::socket::shutdown_send);
        this->run(5ms);
        EXPECT_TRUE(this->serverClosed);
    }
}

} // namespace chivewinch::transport
