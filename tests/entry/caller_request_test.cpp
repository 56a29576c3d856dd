#include "base/random.hpp"
#include "bundle/digest.hpp"
#include "entry/caller_request.hpp"
#include "http/client.hpp"

#include <gtest/gtest.h>

namespace chivewinch::entry {

using namespace std::chrono_literals;

class CallerRequestTest : public testing::Test {
protected:
    base::ManualClock clock;
    ApiError reason;
    std::shared_ptr<const bundle::Snapshot> snapshot = makeSnapshot();

    static std::shared_ptr<const bundle::Snapshot> makeSnapshot()
    {
        bundle::Bundle content;
        content.owners = { { .id = "o" } };
        content.models = { { .id = "m", .owner = "o" } };
        content.services = { { .id = "s", .owner = "o", .nonRepeatable = { "POST /orders" } } };
        content.teams = { { .id = "t",
            .owner = "o",
            .keyHash = bundle::sha256Hex("key"),
            .priority = 5,
            .models = { "*" },
            .services = { "*" } } };
        return std::make_shared<const bundle::Snapshot>(std::move(content), base::BundleVersion { 1 }, "hash");
    }

    std::optional<CallerRequest> read(http::Request request)
    {
        if (request["Authorization"].empty())
            request.set("Authorization", "Bearer key");
        const RequestLimits limits { .defaultDeadline = 10s, .maxDeadline = 60s };
        return readCallerRequest(request, this->snapshot, limits, this->clock, { .high = 1, .low = 2 }, this->reason);
    }

    std::optional<CallerRequest> chat(const std::string& body)
    {
        return this->read(http::makeRequest("POST", "/v1/chat/completions", body));
    }
};

TEST_F(CallerRequestTest, ReadsCompletion)
{
    auto request = http::makeRequest(
        "POST", "/v1/chat/completions", R"({"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]})");
    request.set("X-Deadline-Ms", "250");
    request.set("X-Priority", "9");
    const auto read = this->read(std::move(request));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->pool(), "m");
    EXPECT_TRUE(read->stream);
    EXPECT_TRUE(read->repeatable);
    EXPECT_EQ(read->deadline, this->clock.now() + 250ms);
    EXPECT_EQ(read->priority, 5U) << "the priority of a request must not exceed that of its team";
    EXPECT_NE(read->prefixHash, 0U);
}

// Guards against a retry of a non-repeatable call, such as an order, that was classified as repeatable.
TEST_F(CallerRequestTest, RecognisesNonRepeatableCalls)
{
    EXPECT_FALSE(this->read(http::makeRequest("POST", "/services/s/orders"))->repeatable);
    EXPECT_FALSE(this->read(http::makeRequest("POST", "/services/s//orders?x=1"))->repeatable);
    const auto read = this->read(http::makeRequest("GET", "/services/s/orders/1?full=1"));
    EXPECT_TRUE(read->repeatable);
    EXPECT_EQ(read->path, "/orders/1?full=1");
}

TEST_F(CallerRequestTest, RefusesUnknownCallersAndTargets)
{
    auto request = http::makeRequest("GET", "/services/s/orders");
    request.set("Authorization", "Bearer wrong");
    EXPECT_FALSE(this->read(std::move(request)));
    EXPECT_EQ(this->reason.reason, base::RefusalReason::UnknownTeam);
    EXPECT_FALSE(this->read(http::makeRequest("GET", "/services/none/orders")));
    EXPECT_EQ(this->reason.reason, base::RefusalReason::UnknownService);
    EXPECT_FALSE(this->chat(R"({"model":"none","messages":[]})"));
    EXPECT_EQ(this->reason.reason, base::RefusalReason::UnknownModel);
}

// Guards against a crash or an accepted request on malformed input.
TEST_F(CallerRequestTest, RefusesMalformedBodies)
{
    for (const auto* body :
        { "", "[]", "{", R"({"model":1,"messages":[]})", R"({"model":"m"})", R"({"model":"m","messages":1})",
            R"({"model":"m","messages":[{"role":"user"}]})", R"({"model":"m","messages":[],"stream":"yes"})" }) {
        EXPECT_FALSE(this->chat(body)) << body;
        EXPECT_EQ(this->reason.reason, base::RefusalReason::BadRequest) << body;
    }
}

TEST_F(CallerRequestTest, SurvivesRandomInput)
{
    constexpr std::uint64_t seed = 17;
    constexpr int rounds = 5000;
    RecordProperty("seed", std::to_string(seed));
    base::SeededRandom random { seed };
    const std::string valid = R"({"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]})";
    for (int i = 0; i < rounds; ++i) {
        auto body = valid;
        for (std::uint64_t change = random.below(4); change > 0; --change)
            body[random.below(body.size())] = static_cast<char>(random.below(256));
        (void)this->chat(body);
    }
}

} // namespace chivewinch::entry
