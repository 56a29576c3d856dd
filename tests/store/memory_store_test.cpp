#include "store/memory_store.hpp"

#include <gtest/gtest.h>

namespace chivewinch::store {

class MemoryTableServiceTest : public testing::Test {
protected:
    MemoryTableService tables;
    RowKey key { .table = "t", .key = "k" };

    TransactResult transact(Transaction transaction)
    {
        TransactResult result;
        this->tables.transact(std::move(transaction), [&](auto answer, const Error&) { result = *answer; });
        return result;
    }
};

// Guards against two writers that both create the same row.
TEST_F(MemoryTableServiceTest, ConditionOnAbsenceLetsOneWriterWin)
{
    const Transaction create { .conditions = { { .key = this->key } },
        .writes = { { .key = this->key, .value = "a" } } };
    EXPECT_TRUE(this->transact(create).committed);
    const auto second = this->transact(create);
    EXPECT_FALSE(second.committed);
    ASSERT_EQ(second.rows.size(), 1U);
    EXPECT_EQ(second.rows[0].value, "a");
}

// Guards against a version that is reused: a condition on the old version of a row must fail after the row was removed
// and created again.
TEST_F(MemoryTableServiceTest, VersionsAreNeverReused)
{
    const auto first = this->transact({ .conditions = {}, .writes = { { .key = this->key, .value = "a" } } });
    (void)this->transact({ .conditions = {}, .writes = { { .key = this->key, .value = std::nullopt } } });
    (void)this->transact({ .conditions = {}, .writes = { { .key = this->key, .value = "b" } } });
    EXPECT_FALSE(
        this->transact({ .conditions = { { .key = this->key, .version = first.rows[0].version } }, .writes = {} })
            .committed);
}

// Guards against a transaction that takes effect partially.
TEST_F(MemoryTableServiceTest, FailedConditionStopsAllWrites)
{
    const RowKey other { .table = "t", .key = "other" };
    (void)this->transact({ .conditions = { { .key = this->key, .version = 9 } },
        .writes = { { .key = this->key, .value = "a" }, { .key = other, .value = "b" } } });
    EXPECT_EQ(this->tables.row(this->key).version, absentVersion);
    EXPECT_EQ(this->tables.row(other).version, absentVersion);
}

TEST(MemoryObjectStoreTest, KeepsFirstObjectAndListsByPrefix)
{
    MemoryObjectStore objects;
    std::optional<PutResult> second;
    objects.putIfAbsent("a/1", "x", [](auto, const Error&) {});
    objects.putIfAbsent("a/1", "y", [&](auto result, const Error&) { second = result; });
    objects.putIfAbsent("a/2", "z", [](auto, const Error&) {});
    objects.putIfAbsent("b/1", "z", [](auto, const Error&) {});
    EXPECT_EQ(second, PutResult::Exists);
    EXPECT_EQ(objects.all().at("a/1"), "x");
    objects.list(
        "a/", "a/1", 10, [](auto names, const Error&) { EXPECT_EQ(*names, std::vector<std::string> { "a/2" }); });
}

} // namespace chivewinch::store
