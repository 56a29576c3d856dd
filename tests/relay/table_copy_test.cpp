#include "base/random.hpp"
#include "relay/table_copy.hpp"

#include <gtest/gtest.h>

#include <map>

namespace chivewinch::relay {
namespace {

using Rows = std::vector<watch::RowChange>;

// Guards against sending every report of every target to a peer.
TEST(TableCopy, RelaysOnlyChangesThatAreNotEquivalent)
{
    TableCopy copy { [](const auto& left, const auto& right) { return left.front() == right.front(); } };
    EXPECT_EQ(copy.since(1), std::nullopt);
    copy.replace({ { .key = "a", .value = "r1" }, { .key = "b", .value = "r1" } }, 5);
    copy.change({ { .key = "a", .value = "r2" } }, 6);
    EXPECT_EQ(copy.since(5), Rows {});
    EXPECT_EQ(copy.changedAt(), 5U);
    copy.change({ { .key = "a", .value = "d3" }, { .key = "b", .value = std::nullopt } }, 8);
    EXPECT_EQ(copy.since(6), (Rows { { .key = "a", .value = "d3" }, { .key = "b", .value = std::nullopt } }));
    EXPECT_EQ(copy.since(8), Rows {});
    // Rows removed before the first read are not recorded in this copy.
    EXPECT_EQ(copy.since(4), std::nullopt);
    EXPECT_EQ(copy.all(), (Rows { { .key = "a", .value = "d3" } }));
}

// Guards against a reader that keeps a row although a later read of the complete table does not contain it.
TEST(TableCopy, RemovesRowsMissingFromASnapshot)
{
    TableCopy copy;
    copy.replace({ { .key = "a", .value = "1" }, { .key = "b", .value = "1" } }, 5);
    copy.replace({ { .key = "b", .value = "1" } }, 9);
    EXPECT_EQ(copy.since(5), (Rows { { .key = "a", .value = std::nullopt } }));
}

// Guards against a reader whose table differs from the store's, whichever changes it missed, and also if it has read
// the store itself in between.
TEST(TableCopy, ReadersConvergeToTheStoreState)
{
    constexpr std::uint64_t seed = 20'261'206;
    base::SeededRandom random { seed };
    std::map<std::string, std::string> store;
    TableCopy copy;
    std::map<std::string, std::string> reader;
    std::uint64_t version = 1;
    std::uint64_t readerVersion = 0;
    std::vector<watch::RowChange> unread;
    const auto whole = [&store] {
        Rows rows;
        for (const auto& [key, value] : store)
            rows.push_back({ .key = key, .value = value });
        return rows;
    };
    copy.replace(whole(), version);
    for (int round = 0; round < 20'000; ++round) {
        ++version;
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
                copy.replace(whole(), version);
            else
                copy.change(unread, version);
            unread.clear();
        }
        if (random.below(50) == 0) {
            reader = store;
            readerVersion = version;
        }
        if (random.below(8) == 0 && unread.empty()) {
            auto rows = copy.since(readerVersion);
            if (!rows)
                reader.clear();
            for (const auto& row : rows ? *rows : copy.all()) {
                if (row.value)
                    reader[row.key] = *row.value;
                else
                    reader.erase(row.key);
            }
            readerVersion = version;
            ASSERT_EQ(reader, store) << "round " << round;
        }
    }
}

} // namespace
} // namespace chivewinch::relay
