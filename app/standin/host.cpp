#include "standin/host.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <iostream>
#include <utility>

namespace chivewinch::standin {

namespace asio = boost::asio;

namespace internal {

constexpr std::chrono::milliseconds restartDelay { 500 };

} // namespace internal

http::Response jsonResponse(unsigned status, std::string body)
{
    http::Response response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

Host::Host(asio::io_context& context, settings::Endpoint listen, Faults faults)
    : context { context }
    , faults { std::move(faults) }
    , listen { std::move(listen) }
    , restartTimer { context }
{
    this->makeServer();
}

void Host::makeServer()
{
    http::ServerOptions options;
    options.listen = this->listen;
    options.maxBodyBytes = 64U << 20;
    this->server = std::make_shared<http::Server>(
        this->context.get_executor(), std::move(options),
        [this](const http::Request& request, http::ResponseWriter& writer) { return this->dispatch(request, writer); },
        [](http::RequestFailure kind) { std::cerr << "event=bad_input kind=" << http::toString(kind) << "\n"; });
}

bool Host::start() { return this->server->start().has_value(); }

void Host::stop()
{
    this->stopped = true;
    this->restartTimer.cancel();
    this->server->drain();
}

void Host::crash()
{
    std::cerr << "event=crashed\n";
    this->onCrash();
    // Keeps the old server alive until its connections have ended.
    auto old = std::exchange(this->server, nullptr);
    old->abort();
    this->makeServer();
    this->restartTimer.expires_after(internal::restartDelay);
    this->restartTimer.async_wait([this, old](const boost::system::error_code& error) {
        if (!error && !this->stopped && !this->start())
            std::cerr << "event=restart_failed detail=\"" << this->lastReason() << "\"\n";
    });
}

http::Task<void> Host::pause(std::chrono::nanoseconds duration)
{
    asio::steady_timer timer { this->context, std::chrono::duration_cast<asio::steady_timer::duration>(duration) };
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

http::Task<void> Host::setFaults(const http::Request& request, http::ResponseWriter& writer)
{
    auto changed = applyFaults(this->faults, request.body());
    if (!changed) {
        auto refused = jsonResponse(400, R"({"error":"unknown or malformed fault"})");
        (void)co_await writer.send(std::move(refused));
        co_return;
    }
    this->faults = std::move(*changed);
    auto accepted = jsonResponse(200, "{}");
    (void)co_await writer.send(std::move(accepted));
}

http::Task<void> Host::dispatch(const http::Request& request, http::ResponseWriter& writer)
{
    const auto path = http::pathOf(request);
    if (path == "/faults") {
        co_await this->setFaults(request, writer);
        co_return;
    }
    // Tests read the journal to find out what ran, so faults do not apply to it.
    if (path == "/journal") {
        co_await this->handle(request, writer);
        co_return;
    }
    if (this->faults.delay.count() > 0)
        co_await this->pause(this->faults.delay);
    if (this->faults.down) {
        auto refused = jsonResponse(503, R"({"error":"down"})");
        (void)co_await writer.send(std::move(refused));
        co_return;
    }
    if (!this->faults.crashOn.empty() && request.body().find(this->faults.crashOn) != std::string::npos) {
        // The crash is posted because it closes the connection that this coroutine is using.
        asio::post(this->context, [this] { this->crash(); });
        co_await this->pause(std::chrono::milliseconds { 1 });
        writer.abort();
        co_return;
    }
    if (this->random.unit() < this->faults.loseRequests) {
        writer.abort();
        co_return;
    }
    if (this->random.unit() < this->faults.loseAnswers)
        writer.abort();
    co_await this->handle(request, writer);
}

} // namespace chivewinch::standin
