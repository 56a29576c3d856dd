#include "usage/ledger.hpp"
#include "usage/support.hpp"

#include <gtest/gtest.h>

namespace chivewinch::usage::test {

using namespace std::chrono_literals;

class LedgerTest : public testing::Test {
protected:
    World world { 11 };
    LedgerOptions options { .side = Side::Entry,
        .process = { .instance = "entry-1", .incarnation = static_cast<base::Incarnation>(100) } };

    std::vector<Segment> segments()
    {
        std::vector<Segment> result;
        for (const auto& [name, bytes] : this->world.memory.all()) {
            if (!name.starts_with("usage/segment/"))
                continue;
            Error reason;
            const auto envelope = unwrap(bytes, reason);
            EXPECT_TRUE(envelope) << reason.detail;
            auto segment = decode(envelope->payload, reason);
            EXPECT_TRUE(segment) << reason.detail;
            result.push_back(std::move(*segment));
        }
        std::sort(result.begin(), result.end(),
            [](const auto& left, const auto& right) { return left.header.number < right.header.number; });
        return result;
    }

    std::vector<Record> storedRecords()
    {
        std::vector<Record> result;
        for (const auto& segment : this->segments()) {
            for (std::size_t i = 0; i < segment.records.size(); ++i)
                result.push_back(segment.record(i));
        }
        return result;
    }
};

// Guards against a record that is altered, stored twice or lost in operation without failures.
TEST_F(LedgerTest, StoresEveryRecordOnceInOrder)
{
    auto ledger = this->world.ledger(this->options);
    ledger->start();
    std::vector<Record> expected;
    for (int i = 0; i < 500; ++i) {
        expected.push_back(sampleRecord(this->world.random, this->world.now()));
        ledger->add(expected.back());
        this->world.scheduler.runFor(700ms);
    }
    bool closed = false;
    ledger->close([&closed] { closed = true; });
    this->world.scheduler.runFor(1s);
    EXPECT_TRUE(closed);
    EXPECT_EQ(this->storedRecords(), expected);
    EXPECT_TRUE(this->segments().back().header.closes);
}

// Guards against a segment that is lost or stored twice when the acknowledgement of its write is lost.
TEST_F(LedgerTest, RewritesAfterLostAcknowledgement)
{
    this->world.objects.faults().lostAcknowledgement = 0.5;
    this->world.objects.faults().lostRequest = 0.2;
    auto ledger = this->world.ledger(this->options);
    ledger->start();
    std::vector<Record> expected;
    for (int i = 0; i < 300; ++i) {
        expected.push_back(sampleRecord(this->world.random, this->world.now()));
        ledger->add(expected.back());
        this->world.scheduler.runFor(2s);
    }
    ledger->close([] {});
    this->world.scheduler.runFor(10min);
    EXPECT_EQ(this->storedRecords(), expected);
    EXPECT_GT(ledger->status().rewrites, 0U);
}

// Guards against a restarted process that does not name its previous incarnation. The verifier could then miss the
// chain of the previous incarnation.
TEST_F(LedgerTest, NamesPreviousIncarnation)
{
    auto first = this->world.ledger(this->options);
    first->start();
    this->world.scheduler.runFor(1s);
    first.reset();
    this->options.process.incarnation = static_cast<base::Incarnation>(200);
    auto second = this->world.ledger(this->options);
    second->start();
    this->world.scheduler.runFor(1s);
    EXPECT_EQ(this->segments().back().header.replaces, static_cast<base::Incarnation>(100));
}

// Guards against treating an incarnation of "entry-1/b" as one of "entry-1".
TEST_F(LedgerTest, IgnoresMarkersOfLongerInstanceNames)
{
    this->options.process.instance = "entry-1/b";
    auto other = this->world.ledger(this->options);
    other->start();
    this->world.scheduler.runFor(1s);
    this->options.process = { .instance = "entry-1", .incarnation = static_cast<base::Incarnation>(200) };
    auto ledger = this->world.ledger(this->options);
    ledger->start();
    this->world.scheduler.runFor(1s);
    for (const auto& segment : this->segments())
        EXPECT_EQ(segment.header.replaces, base::Incarnation {});
}

// Guards against unbounded memory use, and against accepting work for which no record memory is left.
TEST_F(LedgerTest, RefusesBeyondMemoryBound)
{
    this->options.maxBufferedBytes = 1U << 20;
    this->options.reservedRecords = 100;
    this->world.objects.faults().down = true;
    auto ledger = this->world.ledger(this->options);
    ledger->start();
    std::size_t accepted = 0;
    while (ledger->canAccept() && accepted < 100000) {
        ledger->add(sampleRecord(this->world.random, this->world.now()));
        ++accepted;
    }
    EXPECT_LT(accepted, 100000U);
    for (int i = 0; i < 100; ++i)
        ledger->add(sampleRecord(this->world.random, this->world.now()));
    EXPECT_LE(ledger->status().bufferedBytes, this->options.maxBufferedBytes);
    this->world.objects.faults().down = false;
    this->world.scheduler.runFor(10min);
    EXPECT_TRUE(ledger->canAccept());
    EXPECT_EQ(this->storedRecords().size(), accepted + 100);
}

// Guards against accepting work for longer after the last stored segment than the verifier assumes (maxBacklogAge).
TEST_F(LedgerTest, RefusesBeyondBacklogAge)
{
    auto ledger = this->world.ledger(this->options);
    ledger->start();
    this->world.scheduler.runFor(1s);
    this->world.objects.faults().down = true;
    this->world.scheduler.runFor(this->options.maxBacklogAge - 10s);
    EXPECT_TRUE(ledger->canAccept());
    this->world.scheduler.runFor(20s);
    EXPECT_FALSE(ledger->canAccept());
}

// Guards against two processes with the same identity that both treat their segments as stored.
TEST_F(LedgerTest, StopsWhenAnotherProcessWroteItsSegment)
{
    auto first = this->world.ledger(this->options);
    auto second = this->world.ledger(this->options);
    first->start();
    this->world.scheduler.runFor(1s);
    second->start();
    this->world.scheduler.runFor(1s);
    EXPECT_TRUE(first->canAccept());
    EXPECT_FALSE(second->canAccept());
    EXPECT_EQ(second->lastReason().code, ErrorCode::ChainConflict);
}

} // namespace chivewinch::usage::test
