#include "gateway/forwarding.hpp"
#include "gateway/names.hpp"

#include <gtest/gtest.h>

namespace chivewinch::gateway {
namespace {

using namespace std::chrono_literals;

http::Request callerRequest()
{
    http::Request request { boost::beast::http::verb::post, "/a/b?c=d", 11 };
    request.set("Host", "Example.test:81");
    request.set("T-Id", "42");
    request.set("T-Left", "8000");
    request.set("T-Key", "secret");
    request.set("X-Other", "kept");
    request.body() = "body";
    return request;
}

TEST(Forwarding, KeepsWhatTheCallerSent)
{
    const auto request = callerRequest();
    const auto copy = forwardRequest(request, testNames(), { .team = "team", .target = "t1", .timeLeft = 1500ms });
    EXPECT_EQ(copy.method(), boost::beast::http::verb::post);
    EXPECT_EQ(copy.target(), "/a/b?c=d");
    // GatewayTest.TargetsGetTheBodyAtEachAttempt covers the body, which is sent without a copy.
    EXPECT_TRUE(copy.body().empty());
    EXPECT_EQ(copy["Host"], "Example.test:81");
    EXPECT_EQ(copy["T-Id"], "42");
    EXPECT_EQ(copy["X-Other"], "kept");
    EXPECT_EQ(copy["T-Team"], "team");
    EXPECT_EQ(copy["T-Target"], "t1");
    EXPECT_EQ(copy["T-Left"], "1500");
}

// Guards against blaming a part that belongs to one request only, and against lists that cannot be parsed.
TEST(Forwarding, ReadsThePartsThatRequestsShare)
{
    const auto partsOf = [](const char* list) {
        auto request = callerRequest();
        request.set("T-Parts", list);
        const auto parts = parseRequestHead(request, testNames()).sharedParts;
        return std::vector<std::string> { parts.begin(), parts.end() };
    };
    using Parts = std::vector<std::string>;
    EXPECT_EQ(partsOf("5c1e07a2:800,91bd3f06:410,e4402b7d:250"), (Parts { "5c1e07a2", "91bd3f06" }));
    EXPECT_EQ(partsOf("5c1e07a2:800, 91bd3f06:410, e4402b7d:250"), (Parts { "5c1e07a2", "91bd3f06" }));
    EXPECT_EQ(partsOf("5c1e07a2,,e4402b7d"), (Parts { "5c1e07a2" }));
    EXPECT_EQ(partsOf("5c1e07a2:800"), Parts {});
    EXPECT_EQ(partsOf(""), Parts {});
    EXPECT_EQ(partsOf(std::string(1'000, ',').c_str()), Parts {});
}

// Guards against forwarding the key to a target, and against a caller that sets its own team, target or priority.
TEST(Forwarding, OverridesTheAccessControlFields)
{
    auto request = callerRequest();
    request.set("t-team", "other");
    request.insert("T-TEAM", "third");
    request.set("T-Target", "other");
    request.set("T-Priority", "0");
    const auto copy = forwardRequest(request, testNames(), { .target = "t1", .timeLeft = 1s });
    EXPECT_EQ(copy.count("T-Key"), 0U);
    EXPECT_EQ(copy.count("T-Team"), 0U);
    EXPECT_EQ(copy.count("T-Priority"), 0U);
    EXPECT_EQ(copy["T-Target"], "t1");
    EXPECT_EQ(copy.count("T-Target"), 1U);
}

// Guards against fields of the caller's connection that take effect on the connection to the target, and against a
// caller that removes the request ID by listing it in the Connection field.
TEST(Forwarding, DropsFieldsOfTheConnection)
{
    auto request = callerRequest();
    request.set("Connection", "close, X-Hop, T-Id, Host");
    request.set("X-Hop", "1");
    request.set("Keep-Alive", "timeout=5");
    request.set("TE", "trailers");
    request.set("Transfer-Encoding", "chunked");
    const auto copy = forwardRequest(request, testNames(), { .target = "t1", .timeLeft = 1s });
    for (const auto* name : { "Connection", "X-Hop", "Keep-Alive", "TE", "Transfer-Encoding" })
        EXPECT_EQ(copy.count(name), 0U) << name;
    EXPECT_EQ(copy["T-Id"], "42");
    EXPECT_EQ(copy["Host"], "Example.test:81");
}

// Guards against a resumed stream that begins again at the event the caller's request states.
TEST(Forwarding, StatesTheLastDeliveredEvent)
{
    auto request = callerRequest();
    request.set("Last-Event-Id", "3");
    EXPECT_EQ(forwardRequest(request, testNames(), { .target = "t", .timeLeft = 1s })["Last-Event-Id"], "3");
    const auto resumed = forwardRequest(request, testNames(), { .target = "t", .timeLeft = 1s, .lastEventId = 17 });
    EXPECT_EQ(resumed["Last-Event-Id"], "17");
    EXPECT_EQ(resumed.count("Last-Event-Id"), 1U);
}

TEST(Forwarding, ReadsTheHead)
{
    auto request = callerRequest();
    const auto head = parseRequestHead(request, testNames());
    EXPECT_EQ(head.id, "42");
    EXPECT_EQ(head.host, "example.test");
    EXPECT_EQ(head.path, "/a/b");
    EXPECT_EQ(head.key, "secret");
    EXPECT_EQ(head.timeLeft, 8s);
    for (const auto* wrong : { "", "-1", "1e3", "99999999999999999999", "8 9" }) {
        request.set("T-Left", wrong);
        EXPECT_EQ(parseRequestHead(request, testNames()).timeLeft, std::nullopt) << wrong;
    }
}

TEST(Forwarding, KeepsTheEndToEndFieldsOfAnAnswer)
{
    const auto kept = forwardHeaders({ { "T-Seal", "s" }, { "Connection", "X-Hop" }, { "X-Hop", "1" },
        { "Content-Length", "5" }, { "Keep-Alive", "timeout=3" }, { "Content-Type", "text/plain" } });
    EXPECT_EQ(kept, (http::Headers { { "T-Seal", "s" }, { "Content-Type", "text/plain" } }));
}

} // namespace
} // namespace chivewinch::gateway
