#include "gateway/gateway.hpp"
#include "gateway/names.hpp"
#include "http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chivewinch::gateway {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/** Table in memory that several processes read and write. */
struct SharedTable {
    std::map<std::string, std::string> rows;
    std::uint64_t version = 1;
};

class SharedTableFeed final : public watch::RowFeed, public watch::RowSink {
public:
    SharedTableFeed(asio::io_context& context, SharedTable& table)
        : context { context }
        , table { table }
    {
    }

    [[nodiscard]] RowFeed::Task<std::optional<watch::Page>> readAll(watch::FeedError& /*reason*/) override
    {
        watch::Page page { .version = this->table.version };
        for (const auto& [key, value] : this->table.rows)
            page.rows.push_back({ .key = key, .value = value });
        co_return page;
    }

    [[nodiscard]] RowFeed::Task<std::optional<watch::Page>> changes(
        std::uint64_t since, std::chrono::milliseconds /*wait*/, watch::FeedError& reason) override
    {
        asio::steady_timer timer { this->context, 20ms };
        co_await timer.async_wait(asio::use_awaitable);
        if (since == this->table.version)
            co_return watch::Page { .version = since };
        co_return co_await this->readAll(reason);
    }

    [[nodiscard]] RowSink::Task<watch::PutResult> put(std::string key, std::string value) override
    {
        this->table.rows.insert_or_assign(std::move(key), std::move(value));
        ++this->table.version;
        co_return watch::PutResult::Written;
    }

    [[nodiscard]] RowSink::Task<watch::PutResult> remove(std::string key) override
    {
        this->table.rows.erase(key);
        ++this->table.version;
        co_return watch::PutResult::Written;
    }

private:
    asio::io_context& context;
    SharedTable& table;
};

/** Several gateways that know each other, in front of the same targets. */
class RequestLimitTest : public testing::Test {
protected:
    struct Entry {
        std::unique_ptr<SharedTableFeed> configuration;
        std::unique_ptr<SharedTableFeed> targets;
        std::unique_ptr<SharedTableFeed> peers;
        settings::Endpoint listen;
        std::unique_ptr<Gateway> gateway;
    };

    struct Target {
        std::shared_ptr<http::Server> server;
        std::string limit; ///< Value of the header field; none if empty.
        std::vector<base::SteadyTime> arrivals;
    };

    struct CallerAnswer {
        unsigned status = 0;
        std::string retryAfter;
        std::chrono::nanoseconds time {};
        base::SteadyTime receivedAt {};
    };

    void start(std::size_t entryCount, const std::vector<std::string>& targetNames)
    {
        this->configurationTable.rows["config"] = "x";
        for (const auto& name : targetNames)
            this->startTarget(name);
        for (std::size_t index = 0; index < entryCount; ++index)
            this->startEntry(index);
        this->context.run_for(1s);
    }

    void startTarget(const std::string& name)
    {
        auto& target = this->targets[name];
        target.server = std::make_shared<http::Server>(
            this->context.get_executor(), http::ServerOptions { .listen = { .address = "127.0.0.1" } },
            [this, &target](const http::Request& request, http::ResponseWriter& writer) -> http::Task<void> {
                target.arrivals.push_back(this->clock.now());
                http::Response response { .status = 200,
                    .body = "answer",
                    .headers = { { "T-Id", std::string { http::headerOf(request, "T-Id") } }, { "T-Seal", "s" } } };
                if (!target.limit.empty())
                    response.headers.emplace_back("T-Limit", target.limit);
                (void)co_await writer.send(std::move(response));
            },
            [](http::RequestFailure) {});
        this->targetsTable.rows[name] = settings::toString(target.server->start().value());
    }

    void startEntry(std::size_t index)
    {
        const auto name = "e" + std::to_string(index);
        const auto address = "127.0.89." + std::to_string(index + 1);
        auto entry = std::make_unique<Entry>();
        entry->configuration = std::make_unique<SharedTableFeed>(this->context, this->configurationTable);
        entry->targets = std::make_unique<SharedTableFeed>(this->context, this->targetsTable);
        entry->peers = std::make_unique<SharedTableFeed>(this->context, this->peersTable);
        entry->listen = { .address = address, .port = this->freePort(address) };
        GatewayOptions options { .instance = name,
            .zone = "z",
            .listen = entry->listen,
            .readiness = { .address = address, .port = this->freePort(address) },
            .headers = testNames() };
        options.dispatcher.router.useSubset = false;
        options.dispatcher.router.compareAll = true;
        options.dispatcher.router.spill.onlyWithoutLocalCapacity = false;
        options.relay = relay::RelayOptions { .instance = name,
            .zone = "z",
            .listen = { .address = address, .port = this->freePort(address) },
            .wait = 60ms,
            .slack = 60ms,
            .maxAge = 120ms,
            .backoff = { .afterRefusal = 50ms, .afterTimeout = 100ms, .maxAfterTimeout = 200ms },
            .settleTime = 20ms,
            .retryTime = 10ms,
            .peersWatch = { .table = "peers", .wait = 0ms, .pause = 20ms } };
        const Decoders decoders { .configuration = [](const auto&, auto&) { return configuration(); },
            .target = [](const auto& key, const auto& value, auto&) -> std::optional<membership::ListedTarget> {
                return membership::ListedTarget { .id = key,
                    .pool = "p",
                    .endpoint = *settings::parseEndpoint(value),
                    .zone = "z",
                    .incarnation = base::Incarnation { 1 },
                    .capacity = 100 };
            },
            .configurationKey = "config" };
        entry->gateway = std::make_unique<Gateway>(this->context, options, this->clock, this->random,
            Feeds { .configuration = *entry->configuration,
                .targets = *entry->targets,
                .configurationWatch = { .table = "config", .wait = 20ms },
                .targetsWatch = { .table = "targets", .wait = 20ms },
                .peers = entry->peers.get(),
                .peersSink = entry->peers.get() },
            decoders);
        ASSERT_TRUE(entry->gateway->start()) << entry->gateway->lastReason();
        this->entries.push_back(std::move(entry));
    }

    static Configuration configuration()
    {
        return { .version = 1,
            .routes = { { .name = "r",
                .host = "h",
                .pathPrefix = "/a/",
                .kind = RouteKind::Repeatable,
                .pools = { { .pool = "p" } },
                .timeout = 5'000ms,
                .latencyObjective = 300ms,
                .maxAttempts = 2 } } };
    }

    std::uint16_t freePort(const std::string& address)
    {
        asio::ip::tcp::acceptor acceptor { this->context, { asio::ip::make_address(address), 0 } };
        return acceptor.local_endpoint().port();
    }

    http::Task<void> call(Entry& entry, std::uint64_t number)
    {
        auto request = http::makeRequest("POST", "/a/x", "body " + std::to_string(number));
        request.set("Host", "h");
        request.set("T-Id", "id-" + std::to_string(number));
        request.set("T-Left", "5000");
        http::Client client { this->context.get_executor(), { .server = entry.listen } };
        const auto sentAt = this->clock.now();
        http::Error error;
        const http::SendOptions options;
        const auto stream = co_await client.open(std::move(request), options, error);
        CallerAnswer answer;
        if (stream) {
            answer.status = stream->status();
            answer.retryAfter = stream->header("Retry-After");
            while (true) {
                const auto bytes = co_await stream->read(error);
                if (!bytes || bytes->empty())
                    break;
            }
        }
        answer.receivedAt = this->clock.now();
        answer.time = answer.receivedAt - sentAt;
        this->answers.push_back(answer);
    }

    /** Sends requests at the given pause, to the entries in turn. */
    void sendFor(std::chrono::milliseconds time, std::chrono::milliseconds pause)
    {
        const auto end = this->clock.now() + time;
        while (this->clock.now() < end) {
            auto& entry = *this->entries[this->sent++ % this->entries.size()];
            asio::co_spawn(this->context, this->call(entry, this->sent), asio::detached);
            this->context.run_for(pause);
        }
    }

    /** Largest number of arrivals within any 4 s from the given time on. */
    [[nodiscard]] std::size_t mostArrivals(const std::string& name, base::SteadyTime from) const
    {
        const auto& arrivals = this->targets.at(name).arrivals;
        std::size_t most = 0;
        for (auto first = std::ranges::lower_bound(arrivals, from); first != arrivals.end(); ++first) {
            const auto end = std::lower_bound(first, arrivals.end(), *first + 4s);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }

    [[nodiscard]] std::size_t countAnswers(unsigned status) const
    {
        return static_cast<std::size_t>(std::ranges::count(this->answers, status, &CallerAnswer::status));
    }

    asio::io_context context;
    base::SystemClock clock;
    base::SeededRandom random { 17 };
    SharedTable configurationTable;
    SharedTable targetsTable;
    SharedTable peersTable;
    std::map<std::string, Target> targets;
    std::vector<std::unique_ptr<Entry>> entries;
    std::vector<CallerAnswer> answers;
    std::uint64_t sent = 0;
};

/** Requests that a target with this limit may get within 4 s, stated by the users' rule. */
constexpr std::size_t allowedIn4s(double limit) { return static_cast<std::size_t>(1.5 * limit * 4 + 5); }

// Guards against entries that together send a target more requests than the limit that it states.
TEST_F(RequestLimitTest, EntriesTogetherKeepTheLimitOfATarget)
{
    this->start(3, { "t1", "t2" });
    this->targets["t1"].limit = "1";
    const auto named = this->clock.now();
    this->sendFor(8s, 25ms);
    EXPECT_LE(this->mostArrivals("t1", named + 3s), allowedIn4s(1));
    EXPECT_EQ(this->countAnswers(200), this->answers.size());
}

// Guards against a value that cannot be read and keeps requests from the target.
TEST_F(RequestLimitTest, InvalidLimitsStopNoRequest)
{
    this->start(2, { "t1" });
    for (const auto* value : { " ", "-1", "many", "nan", "1e400", "1e9" }) {
        this->targets["t1"].limit = value;
        this->sendFor(200ms, 10ms);
    }
    this->context.run_for(300ms);
    EXPECT_EQ(this->countAnswers(200), this->sent);
    EXPECT_EQ(this->targets["t1"].arrivals.size(), this->sent);
}

// Guards against callers that wait for their deadline, or are told a time at which they would be refused again, when
// all targets have used up their limits.
TEST_F(RequestLimitTest, RefusesAtOnceWhatNoTargetCanTakeInTime)
{
    this->start(1, { "t1" });
    this->targets["t1"].limit = "1";
    this->sendFor(500ms, 10ms);
    this->context.run_for(500ms);
    this->answers.clear();
    this->sendFor(300ms, 50ms);
    this->context.run_for(1'500ms);
    ASSERT_EQ(this->answers.size(), 6U);
    std::vector<base::SteadyTime> returns;
    for (const auto& answer : this->answers) {
        if (answer.status == 200)
            continue;
        EXPECT_EQ(answer.status, 503U);
        EXPECT_LT(answer.time, 100ms);
        ASSERT_FALSE(answer.retryAfter.empty());
        returns.push_back(answer.receivedAt
            + std::chrono::milliseconds { static_cast<std::int64_t>(1'000 * std::stod(answer.retryAfter)) });
    }
    ASSERT_GE(returns.size(), 4U);
    // The target takes one request a second, so each caller gets a turn of its own.
    for (std::size_t i = 1; i < returns.size(); ++i)
        EXPECT_GE(returns[i] - returns[i - 1], 900ms) << i;
}

// Guards against refusing a request although a target can take it within the latency objective of 300 ms.
TEST_F(RequestLimitTest, WaitsForATargetThatCanTakeTheRequestInTime)
{
    this->start(1, { "t1" });
    this->targets["t1"].limit = "5";
    this->sendFor(3s, 190ms);
    this->context.run_for(500ms);
    EXPECT_GE(this->countAnswers(200), this->answers.size() - 1);
    EXPECT_EQ(this->answers.size(), this->sent);
}

} // namespace
} // namespace chivewinch::gateway
