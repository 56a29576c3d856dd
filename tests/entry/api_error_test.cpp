#include "entry/api_error.hpp"
#include "entry/stored_answer.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace chivewinch::entry {

using namespace std::chrono_literals;

namespace {

std::string headerOf(const http::Response& response, const std::string& name)
{
    for (const auto& [key, value] : response.headers) {
        if (key == name)
            return value;
    }
    return {};
}

} // namespace

// Guards against an error that looks like "not run" to the caller although the request may have run.
TEST(ApiErrorTest, UnknownOutcomeNeverLooksLikeNotRun)
{
    for (std::size_t i = 0; i < static_cast<std::size_t>(base::RefusalReason::Count); ++i) {
        const auto reason = static_cast<base::RefusalReason>(i);
        const auto response = toResponse({ .outcome = base::Outcome::Unknown, .reason = reason });
        EXPECT_EQ(headerOf(response, "X-Chivewinch-Outcome"), "unknown");
        EXPECT_NE(response.status, 503U) << base::toString(reason);
        EXPECT_NE(response.status, 429U) << base::toString(reason);
        EXPECT_EQ(nlohmann::json::parse(response.body)["error"]["outcome"], "unknown");
    }
}

TEST(ApiErrorTest, RoundsRetryAfterUp)
{
    const auto response = toResponse({ .reason = base::RefusalReason::Overload, .retryAfter = 1200ms });
    EXPECT_EQ(response.status, 503U);
    EXPECT_EQ(headerOf(response, "Retry-After"), "2");
    EXPECT_EQ(headerOf(toResponse({ .reason = base::RefusalReason::Overload }), "Retry-After"), "");
}

TEST(ApiErrorTest, CrashingRequestHasItsOwnCode)
{
    const auto response
        = toResponse({ .outcome = base::Outcome::Unknown, .reason = base::RefusalReason::SuspectRequest });
    EXPECT_EQ(response.status, 422U);
    EXPECT_EQ(nlohmann::json::parse(response.body)["error"]["code"], "request_crashes_targets");
}

// Guards against an error message that breaks the JSON of the answer.
TEST(ApiErrorTest, SurvivesInvalidUtf8)
{
    const auto json = toJson({ .message = "\xFF\"\n" });
    EXPECT_FALSE(nlohmann::json::parse(json, nullptr, false).is_discarded());
}

// Guards against a repeat whose answer differs from the first answer.
TEST(StoredAnswerTest, RoundTripsBytes)
{
    const http::Response answer { .status = 201, .contentType = "text/plain", .body = std::string { "\x00\xFF", 2 } };
    EXPECT_EQ(decodeAnswer(encodeAnswer(answer)), answer);
    EXPECT_FALSE(decodeAnswer("garbage"));
}

} // namespace chivewinch::entry
