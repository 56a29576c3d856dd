#include "base/random.hpp"
#include "gateway/event_sequence.hpp"
#include "gateway/names.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace chivewinch::gateway {
namespace {

TEST(EventSequence, ReadsIdentities)
{
    EXPECT_EQ(eventId("id: 7\ndata: x\n\n"), 7U);
    EXPECT_EQ(eventId("data: id: 7\nid:8\r\n\r\n"), 8U);
    EXPECT_EQ(eventId("data: x\n\n"), std::nullopt);
    EXPECT_EQ(eventId("id: x\n\n"), std::nullopt);
}

// Guards against the text or the head of an error that is passed on in the middle of a stream.
TEST(EventSequence, PassesOnOnlyEvents)
{
    for (const std::string odd : { "internal error\n\n", "{\"error\":\"x\"}\n\n", "error: x\n\n", "data: error\n\n",
             "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nid: 1\ndata: x\n\n",
             "id: 1\nHTTP/1.1 500 x\n\n", "id: 1\n\ndata: x\n\n" }) {
        EventSequence sequence;
        ASSERT_EQ(sequence.accept(eventText(0)), EventAction::Forward);
        EXPECT_EQ(sequence.accept(odd), EventAction::Gap) << odd;
    }
    EventSequence sequence;
    EXPECT_EQ(
        sequence.accept("chivewinch-weight-versions: 3\nid: 0\nevent: token\ndata: a\ndata\n\n"), EventAction::Forward);
    EXPECT_EQ(sequence.accept(": still here\n\n"), EventAction::Forward);
    EXPECT_EQ(sequence.accept(eventText(1)), EventAction::Forward);
    // A stream without ids may have any number of events, but cannot be continued by another run.
    EventSequence unnumbered;
    EXPECT_EQ(unnumbered.accept("data: a\n\n"), EventAction::Forward);
    EXPECT_EQ(unnumbered.accept("data: b\n\n"), EventAction::Forward);
    EXPECT_FALSE(unnumbered.canContinue());
}

// Guards against missing, duplicated or merged events when a stream continues at another target. Covers random
// interruptions, targets that begin too early or too late, and callers that resume.
TEST(EventSequence, DeliversEachEventOnceOverAllRuns)
{
    for (std::uint64_t seed = 1; seed <= 100'000; ++seed) {
        base::SeededRandom random { seed };
        constexpr std::uint64_t length = 12;
        const auto first = random.below(3);
        EventSequence sequence { first == 0 ? std::nullopt : std::optional { first - 1 } };
        std::vector<std::uint64_t> delivered;
        std::uint64_t next = first == 0 ? 0 : first;
        while (next < length) {
            // A target begins directly after the stated event or, wrongly, one event too early or too late.
            const auto offset = random.below(8);
            auto id = offset == 0 && next > 0 ? next - 1 : next + (offset == 1 && !delivered.empty() ? 1 : 0);
            const auto end = id + 1 + random.below(5);
            for (; id < std::min(end, length); ++id) {
                const auto verdict = sequence.accept(eventText(id));
                if (verdict == EventAction::Gap)
                    break;
                if (verdict == EventAction::Forward)
                    delivered.push_back(id);
            }
            next = sequence.lastId() ? *sequence.lastId() + 1 : 0;
        }
        ASSERT_EQ(delivered.size(), length - first) << "seed " << seed;
        for (std::size_t i = 0; i < delivered.size(); ++i)
            ASSERT_EQ(delivered[i], first + i) << "seed " << seed;
        ASSERT_EQ(sequence.delivered(), delivered.size());
    }
}

} // namespace
} // namespace chivewinch::gateway
