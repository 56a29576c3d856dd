#include "gateway/refusal.hpp"

#include <gtest/gtest.h>

namespace chivewinch::gateway {
namespace {

using base::Outcome;
using base::RefusalReason;

// Guards against answering 503, which states that a request has not run, if it may have run.
TEST(Refusal, PromisesNotRunOnlyForProvedRequests)
{
    for (std::size_t i = 0; i < static_cast<std::size_t>(RefusalReason::Count); ++i) {
        const auto reason = static_cast<RefusalReason>(i);
        for (const auto outcome : { Outcome::Unknown, Outcome::Done }) {
            EXPECT_EQ(statusOf({ .reason = reason, .outcome = outcome }), 502U);
            EXPECT_EQ(statusOf({ .reason = reason, .outcome = outcome, .timedOut = true }), 504U);
        }
    }
    EXPECT_EQ(statusOf({ .reason = RefusalReason::NoTarget }), 503U);
    EXPECT_EQ(statusOf({ .reason = RefusalReason::NoRoute }), 404U);
    EXPECT_EQ(statusOf({ .reason = RefusalReason::UnknownTeam }), 401U);
}

TEST(Refusal, StatesTheRetryTime)
{
    const auto response
        = toResponse({ .reason = RefusalReason::NoTarget, .retryAfter = std::chrono::milliseconds { 350 } });
    EXPECT_EQ(response.headers, (http::Headers { { "Retry-After", "0.350" } }));
    EXPECT_EQ(response.body, R"({"error":{"code":"no_target","outcome":"not-run"}})");
    EXPECT_TRUE(toResponse({ .reason = RefusalReason::NoRoute }).headers.empty());
}

} // namespace
} // namespace chivewinch::gateway
