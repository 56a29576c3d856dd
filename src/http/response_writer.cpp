#include "http/response_writer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <utility>

namespace chivewinch::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace internal {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

template <typename Body> void fillHead(beast::http::response<Body>& message, const Response& response, bool keepAlive)
{
    if (!response.contentType.empty())
        message.set(beast::http::field::content_type, response.contentType);
    for (const auto& [name, value] : response.headers)
        message.insert(name, value);
    message.keep_alive(keepAlive);
}

} // namespace internal

ResponseWriter::ResponseWriter(
    beast::tcp_stream& stream, const Request& request, std::chrono::milliseconds writeTimeout, WriteProgress* progress)
    : stream { stream }
    , writeTimeout { writeTimeout }
    , progress { progress }
    , version { request.version() }
    , keepAlive { request.keep_alive() }
    , headOnly { request.method() == beast::http::verb::head }
{
}

void ResponseWriter::beginWrite()
{
    this->stream.expires_after(this->writeTimeout);
    if (this->progress != nullptr)
        this->progress->begin();
}

void ResponseWriter::endWrite(bool hasError) noexcept
{
    this->hasFailed = this->hasFailed || hasError;
    if (this->progress != nullptr)
        this->progress->end();
}

Task<bool> ResponseWriter::send(Response response)
{
    beast::http::response<beast::http::string_body> message { static_cast<beast::http::status>(response.status),
        this->version };
    internal::fillHead(message, response, this->keepAlive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    if (this->headOnly)
        message.body().clear();
    this->isStarted = true;
    this->beginWrite();
    const auto [error, bytes] = co_await beast::http::async_write(this->stream, message, internal::useTuple);
    this->endWrite(error.failed());
    this->isComplete = !this->hasFailed;
    co_return this->isComplete;
}

Task<bool> ResponseWriter::start(const Response& response)
{
    beast::http::response<beast::http::empty_body> message { static_cast<beast::http::status>(response.status),
        this->version };
    internal::fillHead(message, response, this->keepAlive);
    message.chunked(true);
    beast::http::response_serializer<beast::http::empty_body> serializer { message };
    this->isStarted = true;
    this->beginWrite();
    const auto [error, bytes] = co_await beast::http::async_write_header(this->stream, serializer, internal::useTuple);
    this->endWrite(error.failed());
    co_return !this->hasFailed;
}

Task<bool> ResponseWriter::writeBytes(std::string_view bytes)
{
    if (this->hasFailed)
        co_return false;
    this->beginWrite();
    const auto chunk = beast::http::make_chunk(asio::const_buffer { bytes.data(), bytes.size() });
    const auto [error, count] = co_await asio::async_write(this->stream, chunk, internal::useTuple);
    this->endWrite(error.failed());
    co_return !this->hasFailed;
}

Task<bool> ResponseWriter::write(std::string_view bytes)
{
    // An empty chunk would mark the end of the body.
    if (bytes.empty())
        co_return !this->hasFailed;
    co_return co_await this->writeBytes(bytes);
}

Task<bool> ResponseWriter::finish()
{
    if (this->hasFailed)
        co_return false;
    this->beginWrite();
    const auto [error, count]
        = co_await asio::async_write(this->stream, beast::http::make_chunk_last(), internal::useTuple);
    this->endWrite(error.failed());
    this->isComplete = !this->hasFailed;
    co_return this->isComplete;
}

void ResponseWriter::abort() noexcept
{
    this->hasFailed = true;
    beast::error_code ignored;
    this->stream.socket().close(ignored);
}

Task<void> ResponseWriter::waitForDisconnect()
{
    auto& socket = this->stream.socket();
    beast::error_code error;
    std::size_t count = 0;
    // A socket can be reported as readable although no data is available. A blocking receive would then block the
    // thread.
    socket.non_blocking(true, error);
    error = asio::error::would_block;
    while (error == asio::error::would_block) {
        const auto [waitError] = co_await socket.async_wait(asio::ip::tcp::socket::wait_read, internal::useTuple);
        if (waitError)
            co_return;
        std::array<char, 1> byte {};
        count = socket.receive(asio::buffer(byte), asio::ip::tcp::socket::message_peek, error);
    }
    if (error || count == 0)
        co_return;
    // A pipelined request has arrived, so further bytes do not indicate a disconnect. Watching resumes with the next
    // request. Until then, this operation ends only by cancellation.
    asio::steady_timer never { co_await asio::this_coro::executor, asio::steady_timer::time_point::max() };
    co_await never.async_wait(internal::useTuple);
}

} // namespace chivewinch::http
