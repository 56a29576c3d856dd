#include "bundle/digest.hpp"
#include "entry/target_chooser.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <array>
#include <chrono>

namespace chivewinch::entry {

using namespace std::chrono_literals;

/** A pool of two targets with one slot each, both in use, and one request that waits for a slot. */
class TargetChooserTest : public testing::Test {
protected:
    static constexpr const char* pool = "m";
    inline static const base::TargetId first { "a" };
    inline static const base::TargetId second { "b" };

    boost::asio::io_context context;
    base::SystemClock clock;
    EntryOptions options { .instance = "entry-1", .zone = "zone-a" };
    Tables tables { this->options, this->clock };
    metrics::Registry registry;
    std::vector<base::TargetId> disconnected;
    Services services { .options = this->options,
        .clock = this->clock,
        .tables = this->tables,
        .metrics = this->registry,
        .timeToFirstToken = this->registry.seconds("first", "first"),
        .requestTime = this->registry.seconds("time", "time"),
        .droppedFrames = this->registry.counter("dropped", "dropped"),
        .linkOf = {},
        .disconnectedTargets = [this] { return this->disconnected; },
        .countUsage = {},
        .agentInstanceOf = {} };
    CallerRequest request;
    std::shared_ptr<RequestChannel> channel = std::make_shared<RequestChannel>(this->context.get_executor());
    TargetChooser chooser { this->services, this->request, this->channel };
    std::optional<routing::Choice> choice;
    bool isDone = false;

    TargetChooserTest()
    {
        bundle::Bundle content;
        content.owners = { { .id = "o" } };
        content.models = { { .id = pool, .owner = "o" } };
        content.teams = { { .id = "t", .owner = "o", .keyHash = bundle::sha256Hex("key"), .models = { "*" } } };
        std::vector<membership::TargetView> views;
        for (const auto& id : { first, second }) {
            content.targets.push_back({ .id = id, .model = pool, .zone = this->options.zone });
            views.push_back(
                { .target = id, .zone = this->options.zone, .address = {}, .state = membership::TargetState::Live });
        }
        auto snapshot = std::make_shared<const bundle::Snapshot>(std::move(content), base::BundleVersion { 1 }, "hash");
        this->tables.applyBundle(snapshot);
        this->tables.routing.with([&](Routing& routing) {
            routing.router.setTargets(views);
            const routing::RouteRequest route { .pool = pool };
            for (const auto& id : { first, second }) {
                routing.router.reported(id, { .capacity = 1 }, this->clock.now());
                routing.router.started(route, { .target = id }, this->clock.now());
            }
        });
        this->request.id = { .high = 1, .low = 2 };
        this->request.snapshot = snapshot;
        this->request.team = &snapshot->bundle().teams.front();
        this->request.model = pool;
        this->request.fingerprint = 7;
        this->request.deadline = this->clock.now() + 2s;
        boost::asio::co_spawn(this->context, this->run(), boost::asio::detached);
        this->context.run_for(5ms);
    }

    http::Task<void> run()
    {
        this->choice = co_await this->chooser.choose(1);
        this->isDone = true;
    }

    /** Ends the attempt that uses the slot of the target. */
    void finishAttemptOn(const base::TargetId& target)
    {
        this->tables.routing.with([&](Routing& routing) {
            routing.router.finished(target, routing::Result::Success, std::nullopt, this->clock.now());
            routing.waiting.advance(routing.router, this->clock.now());
        });
        this->context.run_for(5ms);
    }
};

TEST_F(TargetChooserTest, WaitingRequestGetsTheFirstFreeSlot)
{
    ASSERT_FALSE(this->isDone);
    this->finishAttemptOn(first);
    ASSERT_TRUE(this->choice);
    EXPECT_EQ(this->choice->target, first);
}

// Guards against granting a target whose connection was lost while the request waited; the attempt fails at once.
TEST_F(TargetChooserTest, WaitingRequestSkipsDisconnectedTarget)
{
    ASSERT_FALSE(this->isDone);
    this->disconnected = { first };
    this->finishAttemptOn(first);
    EXPECT_FALSE(this->isDone) << "granted a target without a connection";
    this->finishAttemptOn(second);
    ASSERT_TRUE(this->choice);
    EXPECT_EQ(this->choice->target, second);
}

// Guards against a request that is granted the target of its first strike, which it got while it waited, and crashes a
// second instance of it.
TEST_F(TargetChooserTest, WaitingRequestSkipsTargetWithNewStrike)
{
    ASSERT_FALSE(this->isDone);
    this->tables.suspects.with([&](Suspects& suspects) {
        const std::array<std::uint64_t, 1> inFlight { this->request.fingerprint };
        suspects.strikes.recordCrash(first, base::Incarnation { 1 }, inFlight);
    });
    this->finishAttemptOn(first);
    this->context.run_for(400ms);
    EXPECT_FALSE(this->isDone) << "granted a target that the request has crashed";
    this->finishAttemptOn(second);
    this->context.run_for(400ms);
    ASSERT_TRUE(this->choice);
    EXPECT_EQ(this->choice->target, second);
}

// Guards against a leaked slot when a request cannot use the target that it was granted.
TEST_F(TargetChooserTest, ReleasedSlotIsAvailableToTheNextRequest)
{
    this->disconnected = { first };
    this->finishAttemptOn(first);
    this->tables.routing.with([&](Routing& routing) {
        const routing::RouteRequest other { .pool = pool };
        const auto next = routing.router.choose(other, this->clock.now());
        ASSERT_TRUE(next);
        EXPECT_EQ(next->target, first);
    });
}

} // namespace chivewinch::entry
