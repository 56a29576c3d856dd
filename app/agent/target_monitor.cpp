#include "agent/target_monitor.hpp"

#include "http/status.hpp"
#include "logging/event.hpp"
#include "wire/parse.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace chivewinch::agent {

namespace asio = boost::asio;

namespace internal {

constexpr std::chrono::milliseconds probeTimeout { 2000 };

// One slow answer does not count as a crash. A refused connection counts as a crash immediately.
constexpr std::uint32_t failedProbesUntilDown = 3;

} // namespace internal

TargetMonitor::TargetMonitor(
    http::Client& client, std::chrono::milliseconds interval, CrashHandler onCrash, UpHandler onUp)
    : client { client }
    , interval { interval }
    , onCrash { std::move(onCrash) }
    , onUp { std::move(onUp) }
{
}

http::Task<void> TargetMonitor::run()
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer intervalTimer { executor };
    this->timer = &intervalTimer;
    while (!this->stopped) {
        (void)co_await this->probe();
        intervalTimer.expires_after(this->interval);
        co_await intervalTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    this->timer = nullptr;
}

void TargetMonitor::stop()
{
    this->stopped = true;
    if (this->timer != nullptr)
        this->timer->cancel();
}

http::Task<bool> TargetMonitor::probe()
{
    const auto crashesBefore = this->crashes;
    http::Error reason;
    http::SendOptions options;
    options.readTimeout = internal::probeTimeout;
    // A pooled connection fails after a restart of the target, although the restarted target is reachable.
    options.freshConnection = true;
    auto request = http::makeRequest("GET", "/load");
    request.keep_alive(false);
    const auto response = co_await this->client.send(std::move(request), options, reason);
    const bool succeeded = response && response->status == http::status::ok;
    (void)(succeeded ? this->handleResponse(response->body) : this->handleFailure(reason));
    co_return this->crashes != crashesBefore;
}

bool TargetMonitor::handleResponse(const std::string& body)
{
    const auto json = wire::parseJson(body);
    if (!json.is_object() || !json.contains("incarnation") || !json["incarnation"].is_number_unsigned())
        return false;
    this->failures = 0;
    const auto count = [&json](const char* name) {
        const auto found = json.find(name);
        return found != json.end() && found->is_number_unsigned() ? found->get<std::uint32_t>() : 0U;
    };
    const auto reported = static_cast<base::Incarnation>(json["incarnation"].get<std::uint64_t>());
    if (this->incarnation && *this->incarnation != reported)
        this->reportCrash();
    const bool isNew = !this->incarnation;
    this->incarnation = reported;
    this->report.set_in_flight(count("running"));
    this->report.set_queued(count("queued"));
    this->report.set_capacity(count("capacity"));
    if (isNew) {
        logging::Event { "target_up" }.field("target_incarnation", static_cast<std::uint64_t>(reported)).info();
        this->onUp();
    }
    return true;
}

bool TargetMonitor::handleFailure(const http::Error& reason)
{
    ++this->failures;
    const bool refused = reason.code == http::ErrorCode::NotSent;
    if (this->incarnation && (refused || this->failures >= internal::failedProbesUntilDown)) {
        logging::Event { "target_down" }.field("detail", reason.detail).warning();
        this->reportCrash();
        this->incarnation.reset();
    }
    return false;
}

void TargetMonitor::reportCrash()
{
    ++this->crashes;
    this->onCrash(*this->incarnation);
}

} // namespace chivewinch::agent
