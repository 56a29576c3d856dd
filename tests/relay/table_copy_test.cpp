#include "base/random.hpp"
#include "relay/table_copy.hpp"

#include <gtest/gtest.h>

#include <map>

namespace chivewinch::relay {
namespace {

using Rows = std::vector<watch::RowChange>;

constexpr std::uint64_t copyId = 7;

// Guards against sending every report of every target to a peer.
TEST(TableCopy, RelaysOnlyChangesThatAreNotEquivalent)
{
    TableCopy copy { copyId, [](const auto& left, const auto& right) { return left.front() == right.front(); } };
    const auto unread = copy.position();
    EXPECT_EQ(copy.since(unread), std::nullopt);
    copy.replace({ { .key = "a", .value = "r1" }, { .key = "b", .value = "r1" } });
    const auto first = copy.position();
    const auto changedAt = copy.changedAt();
    copy.change({ { .key = "a", .value = "r2" } });
    const auto second = copy.position();
    EXPECT_EQ(copy.since(first), Rows {});
    EXPECT_EQ(copy.changedAt(), changedAt);
    copy.change({ { .key = "a", .value = "d3" }, { .key = "b", .value = std::nullopt } });
    EXPECT_EQ(copy.since(second), (Rows { { .key = "a", .value = "d3" }, { .key = "b", .value = std::nullopt } }));
    EXPECT_EQ(copy.since(copy.position()), Rows {});
    // Rows removed before the first read are not recorded in this copy.
    EXPECT_EQ(copy.since(unread), std::nullopt);
    EXPECT_EQ(copy.all(), (Rows { { .key = "a", .value = "d3" } }));
}

// Guards against a reader that keeps a row although a later read of the complete table does not contain it.
TEST(TableCopy, RemovesRowsMissingFromASnapshot)
{
    TableCopy copy { copyId };
    copy.replace({ { .key = "a", .value = "1" }, { .key = "b", .value = "1" } });
    const auto position = copy.position();
    copy.replace({ { .key = "b", .value = "1" } });
    EXPECT_EQ(copy.since(position), (Rows { { .key = "a", .value = std::nullopt } }));
}

// Guards against changes for a reader whose rows come from another process, from an earlier start of the process, or
// from a position that this copy has not reached.
TEST(TableCopy, HasNoChangesForOtherPositions)
{
    TableCopy copy { copyId };
    copy.replace({ { .key = "a", .value = "1" } });
    EXPECT_TRUE(copy.since(copy.position()));
    EXPECT_FALSE(copy.since({ .copy = copyId + 1, .revision = copy.position().revision }));
    EXPECT_FALSE(copy.since({ .copy = copyId, .revision = copy.position().revision + 1 }));
}

// Guards against a reader whose table differs from the store's, whichever changes it missed, and also if it has read
// the store itself in between.
TEST(TableCopy, ReadersConvergeToTheStoreState)
{
    constexpr std::uint64_t seed = 20'261'206;
    base::SeededRandom random { seed };
    std::map<std::string, std::string> store;
    TableCopy copy { copyId };
    std::map<std::string, std::string> reader;
    std::optional<CopyPosition> readerPosition;
    Rows unread;
    const auto whole = [&store] {
        Rows rows;
        for (const auto& [key, value] : store)
            rows.push_back({ .key = key, .value = value });
        return rows;
    };
    copy.replace(whole());
    for (int round = 0; round < 20'000; ++round) {
        const auto key = std::to_string(random.below(2'000));
        watch::RowChange change { .key = key };
        if (random.below(3) > 0)
            change.value = std::to_string(round);
        if (change.value)
            store[key] = *change.value;
        else
            store.erase(key);
        unread.push_back(change);
        if (random.below(4) == 0) {
            if (random.below(10) == 0)
                copy.replace(whole());
            else
                copy.change(unread);
            unread.clear();
        }
        if (random.below(50) == 0) {
            reader = store;
            readerPosition.reset();
        }
        if (random.below(8) == 0 && unread.empty()) {
            auto rows = readerPosition ? copy.since(*readerPosition) : std::nullopt;
            if (!rows)
                reader.clear();
            for (const auto& row : rows ? *rows : copy.all()) {
                if (row.value)
                    reader[row.key] = *row.value;
                else
                    reader.erase(row.key);
            }
            readerPosition = copy.position();
            ASSERT_EQ(reader, store) << "round " << round;
        }
    }
}

} // namespace
} // namespace chivewinch::relay
