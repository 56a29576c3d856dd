#include "http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <thread>

namespace chivewinch::http {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Tcp = asio::ip::tcp;

/** An answer, and how its server ends the connection. */
struct CutAnswer {
    const char* name;
    std::string head;
    std::string body; ///< As it is sent.
    std::string content; ///< As the reader sees it.
    bool isReset = false;
    bool statesEnd = true; ///< The reader can tell where the body ends.
};

void PrintTo(const CutAnswer& answer, std::ostream* stream)
{
    *stream << answer.name << (answer.isReset ? " reset" : " closed");
}

std::vector<CutAnswer> cutAnswers()
{
    std::vector<CutAnswer> answers;
    for (const bool isReset : { false, true }) {
        answers.push_back({ "length", "HTTP/1.1 200 OK\r\nT-Seal: s\r\nContent-Length: 12\r\n\r\n", "whole answer",
            "whole answer", isReset });
        answers.push_back(
            { "length of a failure", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 12\r\nT-Seal: s\r\n\r\n",
                "whole answer", "whole answer", isReset });
        answers.push_back({ "chunked", "HTTP/1.1 200 OK\r\nT-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
            "6\r\nwhole \r\n6;x=y\r\nanswer\r\n0\r\nT-End: 1\r\n\r\n", "whole answer", isReset });
        answers.push_back(
            { "none", "HTTP/1.1 200 OK\r\nT-Seal: s\r\n\r\n", "whole answer", "whole answer", isReset, false });
    }
    return answers;
}

/** Accepts one connection, reads a request and writes the bytes, then closes or resets the connection. */
void answerOnce(Tcp::acceptor& acceptor, std::string_view bytes, bool isReset)
{
    boost::system::error_code error;
    Tcp::socket socket { acceptor.get_executor() };
    acceptor.accept(socket, error);
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
    asio::write(socket, asio::buffer(bytes), error);
    if (isReset)
        socket.set_option(asio::socket_base::linger { true, 0 }, error);
    socket.close(error);
}

/** The body of the response; nullopt if the client says that it is incomplete. */
std::optional<std::string> readWhole(asio::io_context& context, const settings::Endpoint& server)
{
    const auto task = [&]() -> Task<std::optional<std::string>> {
        Client client { context.get_executor(), { .server = server, .readTimeout = 2s } };
        Error reason;
        const SendOptions options { .freshConnection = true };
        const auto stream = co_await client.open(makeRequest("GET", "/", ""), options, reason);
        if (!stream)
            co_return std::nullopt;
        std::string body;
        while (true) {
            const auto bytes = co_await stream->read(reason);
            if (!bytes)
                co_return std::nullopt;
            if (bytes->empty())
                co_return body;
            body += *bytes;
        }
    };
    auto result = asio::co_spawn(context, task(), asio::use_future);
    context.restart();
    context.run();
    return result.get();
}

class CutAnswerTest : public testing::TestWithParam<CutAnswer> { };

// Guards against an answer that is cut at any byte of its head or body and reaches the reader as a whole one.
TEST_P(CutAnswerTest, IsNeverWhole)
{
    const auto& answer = GetParam();
    const auto whole = answer.head + answer.body;
    asio::io_context context;
    Tcp::acceptor acceptor { context, Tcp::endpoint { asio::ip::make_address("127.0.0.1"), 0 } };
    const settings::Endpoint server { .address = "127.0.0.1", .port = acceptor.local_endpoint().port() };
    for (std::size_t length = 0; length <= whole.size(); ++length) {
        std::thread target { [&] {
            answerOnce(acceptor, std::string_view { whole }.substr(0, length), answer.isReset);
        } };
        const auto body = readWhole(context, server);
        target.join();
        if (length == whole.size() && !answer.isReset) {
            EXPECT_EQ(body, answer.content);
        } else if (length >= answer.head.size() && !answer.statesEnd && !answer.isReset) {
            // The end of the connection is the end of such a body, wherever it is.
            EXPECT_EQ(body, answer.content.substr(0, length - answer.head.size()));
        } else if (length == whole.size() && answer.statesEnd) {
            EXPECT_TRUE(!body || body == answer.content);
        } else {
            EXPECT_EQ(body, std::nullopt) << length;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Framings, CutAnswerTest, testing::ValuesIn(cutAnswers()));

} // namespace
} // namespace chivewinch::http
