#include "group/codec.hpp"
#include "group/rank_access.hpp"
#include "http/server.hpp"
#include "http/status.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace chivewinch::group {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using expert::MapOrder;
using expert::MapOrderKind;

constexpr std::uint16_t enginePort = 9;

std::string addressOf(std::uint32_t rank) { return "127.0.77." + std::to_string(rank + 1); }

Member memberOf(std::uint32_t rank)
{
    return { .id = "engine-" + std::to_string(rank),
        .endpoint = { .address = addressOf(rank), .port = enginePort },
        .epoch = 1,
        .rank = rank };
}

/** Fake engines of all ranks, as seen from the agent of one rank. Records the calls. */
class FakePort final : public GroupPort {
public:
    struct Call {
        std::uint32_t caller = 0;
        std::uint32_t engine = 0;

        auto operator<=>(const Call&) const = default;
    };
    struct Log {
        std::vector<Call> reports;
        std::vector<std::pair<Call, MapOrder>> orders;
        std::vector<GroupMap> maps; ///< Maps of the orders.
    };

    FakePort(std::uint32_t rank, Log& log)
        : rank { rank }
        , log { log }
    {
    }

    http::Task<std::optional<MemberReport>> report(settings::Endpoint engine) override
    {
        const auto asked = rankOf(engine);
        this->log.reports.push_back({ this->rank, asked });
        co_return MemberReport { .group = "g", .rank = asked, .size = 8, .maps = { .epoch = 1, .open = true } };
    }

    http::Task<std::optional<ExpertCounts>> counts(settings::Endpoint engine) override
    {
        const std::uint64_t tokens = ++this->readings * (rankOf(engine) + 1);
        co_return ExpertCounts { .epoch = 1, .tokens = { tokens, 0 } };
    }

    http::Task<std::optional<RankExperts>> experts(settings::Endpoint /*engine*/) override { co_return std::nullopt; }

    http::Task<OrderReply> order(Member member, MapOrder order, const GroupMap& map) override
    {
        EXPECT_FALSE(map.empty() && order.kind == MapOrderKind::Prepare);
        this->log.maps.push_back(map);
        this->log.orders.emplace_back(Call { this->rank, rankOf(member.endpoint) }, order);
        co_return OrderReply::Begun;
    }

    http::Task<std::optional<std::vector<Member>>> members(std::string /*group*/) override { co_return std::nullopt; }
    http::Task<std::optional<EngineLimits>> limits() override { co_return std::nullopt; }

private:
    std::uint32_t rank;
    Log& log;
    std::uint64_t readings = 0;

    static std::uint32_t rankOf(const settings::Endpoint& engine)
    {
        return static_cast<std::uint32_t>(std::stoul(engine.address.substr(engine.address.rfind('.') + 1))) - 1;
    }
};

/** Agents of a group of eight ranks on loopback. The first agent queries at most four others directly. */
class RankAccessTest : public testing::Test {
protected:
    static constexpr std::uint32_t ranks = 8;

    struct Agent {
        std::unique_ptr<FakePort> port;
        std::unique_ptr<RankAccess> access;
        std::shared_ptr<http::Server> server;
    };

    asio::io_context context;
    base::SystemClock clock;
    FakePort::Log log;
    std::uint16_t agentPort = 0;
    std::map<std::uint32_t, Agent> agents;

    /** Starts the agents of all ranks except the given ones, which stay unresponsive. */
    void start(const std::vector<std::uint32_t>& silent)
    {
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            if (std::ranges::find(silent, rank) == silent.end())
                this->startAgent(rank);
        }
        // The first server binds a free port; the others listen on the same port.
        for (auto& [rank, agent] : this->agents)
            agent.access = std::make_unique<RankAccess>(this->context.get_executor(),
                RankAccessOptions { .engine = memberOf(rank).endpoint, .agentPort = this->agentPort, .maxParts = 4 },
                this->clock, *agent.port);
    }

    RankAnswers ask(RankQuery query, bool usesDirectFallback)
    {
        this->log = {};
        auto result = asio::co_spawn(
            this->context, this->agents.at(0).access->ask(std::move(query), usesDirectFallback), asio::use_future);
        while (result.wait_for(0s) != std::future_status::ready)
            this->context.run_one_for(100ms);
        return result.get();
    }

    static RankQuery query(MapOrderKind kind = MapOrderKind::Count)
    {
        RankQuery all { .group = "g", .map = fullUpdate({ { { 0 }, { 1 } } }, 2) };
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            all.members.push_back(memberOf(rank));
            if (kind != MapOrderKind::Count)
                all.orders.push_back({ .rank = rank, .kind = kind, .epoch = 1, .version = 2 });
        }
        return all;
    }

    /** Engines that were called by the agent of another rank. */
    [[nodiscard]] std::vector<std::uint32_t> enginesCalledRemotely() const
    {
        std::vector<std::uint32_t> engines;
        for (const auto& call : this->log.reports)
            if (call.caller != call.engine)
                engines.push_back(call.engine);
        std::ranges::sort(engines);
        return engines;
    }

private:
    void startAgent(std::uint32_t rank)
    {
        auto& agent = this->agents[rank];
        agent.port = std::make_unique<FakePort>(rank, this->log);
        const auto serve
            = [this, rank](const http::Request& request, http::ResponseWriter& writer) -> http::Task<void> {
            auto asked = decodeQuery(request.body());
            EXPECT_TRUE(asked);
            const auto answers = co_await this->agents.at(rank).access->answer(std::move(*asked));
            http::Response response { .body = encode(answers) };
            (void)co_await writer.send(std::move(response));
        };
        agent.server = std::make_shared<http::Server>(this->context.get_executor(),
            http::ServerOptions { .listen = { .address = addressOf(rank), .port = this->agentPort } }, serve,
            [](http::RequestFailure /*kind*/) {});
        const auto bound = agent.server->start();
        ASSERT_TRUE(bound) << agent.server->lastReason();
        this->agentPort = bound->port;
    }
};

// Guards against calls to engines of other machines: these calls are charged, and their reports are stale.
TEST_F(RankAccessTest, LetsEachAgentCallItsOwnEngine)
{
    this->start({});
    const auto answers = this->ask(query(MapOrderKind::Prepare), true);
    EXPECT_EQ(answers.reports.size(), ranks);
    EXPECT_EQ(answers.replies.size(), ranks);
    EXPECT_EQ(this->log.orders.size(), ranks);
    for (const auto& [call, order] : this->log.orders) {
        EXPECT_EQ(call.caller, call.engine);
        EXPECT_EQ(order.rank, call.engine);
    }
    EXPECT_TRUE(this->enginesCalledRemotely().empty());
}

TEST_F(RankAccessTest, SumsTheLoads)
{
    this->start({});
    auto loads = query();
    loads.wantsLoads = true;
    EXPECT_EQ(this->ask(loads, false).loads, (std::vector<double> { 0, 0 }));
    // Rank r counts r + 1 tokens between two readings.
    EXPECT_EQ(this->ask(loads, false).loads, (std::vector<double> { 36, 0 }));
}

// Guards against a rank that loads a different map than the others. An agent that does not hold the base map of an
// update sends no order to its engine and requests the full map.
TEST_F(RankAccessTest, LoadsTheStatedMapOrNone)
{
    this->start({});
    const GroupMap first { { { 0 }, { 1 }, { 2 }, { 3 }, { 4 }, { 5 }, { 6 }, { 7 } } };
    auto second = first;
    second[0][3] = { 3, 5 };
    auto change = query(MapOrderKind::Prepare);
    change.map = MapCache::difference(first, 1, second, 2, 9);
    const auto unknown = this->ask(change, true);
    ASSERT_EQ(unknown.replies.size(), ranks);
    for (const auto& answer : unknown.replies)
        EXPECT_EQ(answer.reply, OrderReply::MapUnknown);
    EXPECT_TRUE(this->log.orders.empty());

    auto whole = query(MapOrderKind::Prepare);
    for (auto& order : whole.orders)
        order.version = 1;
    whole.map = fullUpdate(first, 1);
    (void)this->ask(whole, true);
    const auto known = this->ask(change, true);
    ASSERT_EQ(known.replies.size(), ranks);
    for (const auto& answer : known.replies)
        EXPECT_EQ(answer.reply, OrderReply::Begun);
    ASSERT_EQ(this->log.maps.size(), ranks);
    for (const auto& map : this->log.maps)
        EXPECT_EQ(map, second);
}

// Guards against a change that waits for an agent that was killed, or for all ranks that an unresponsive agent should
// have queried.
TEST_F(RankAccessTest, CallsEnginesOfUnresponsiveAgentsDirectly)
{
    // After the first rank, the query is split into parts of two ranks each: rank 1 queries 2, 3 queries 4, 5 queries
    // 6.
    this->start({ 1, 4 });
    const auto answers = this->ask(query(MapOrderKind::Arm), true);
    EXPECT_EQ(answers.reports.size(), ranks);
    EXPECT_EQ(answers.replies.size(), ranks);
    EXPECT_EQ(this->enginesCalledRemotely(), (std::vector<std::uint32_t> { 1, 2, 4 }));
    // Rank 2 got no answer through the agent of rank 1, which should have queried it; now its own agent is queried
    // directly.
    EXPECT_EQ(this->ask(query(), true).reports.size(), ranks);
    EXPECT_EQ(this->enginesCalledRemotely(), (std::vector<std::uint32_t> { 1, 4 }));
}

// Guards against charged calls for readings that do not need every rank.
TEST_F(RankAccessTest, OmitsUnresponsiveRanksFromReadings)
{
    this->start({ 7 });
    EXPECT_EQ(this->ask(query(), false).reports.size(), ranks - 1);
    EXPECT_TRUE(this->enginesCalledRemotely().empty());
}

// Guards against an order reaching the wrong engine after an address was reassigned to another machine.
TEST_F(RankAccessTest, RefusesAQueryForAnotherEngine)
{
    this->start({});
    RankQuery wrong { .group = "g", .members = { memberOf(3) } };
    auto result = asio::co_spawn(this->context, this->agents.at(5).access->answer(wrong), asio::use_future);
    while (result.wait_for(0s) != std::future_status::ready)
        this->context.run_one_for(100ms);
    EXPECT_EQ(result.get(), RankAnswers {});
    EXPECT_TRUE(this->log.reports.empty());
}

} // namespace
} // namespace chivewinch::group
