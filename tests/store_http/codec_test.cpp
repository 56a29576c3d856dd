#include "base/random.hpp"
#include "store_http/codec.hpp"

#include <gtest/gtest.h>

namespace chivewinch::store_http {

namespace {

const store::RowKey key { .table = "t", .key = "k" };
const std::string bytes { "\x00\xFF\"z", 4 };

} // namespace

// Guards against binary values that change when they are encoded and decoded.
TEST(CodecTest, RoundTripsBinaryValues)
{
    const store::Transaction transaction { .conditions = { { .key = key, .version = 3 } },
        .writes = { { .key = key, .value = bytes }, { .key = key, .value = std::nullopt } } };
    EXPECT_EQ(decodeTransaction(encodeTransaction(transaction)), transaction);
    const store::TransactResult result { .committed = true, .rows = { { .key = key, .value = bytes, .version = 7 } } };
    EXPECT_EQ(decodeResult(encodeResult(result)), result);
    EXPECT_EQ(decodeRows(encodeRows(result.rows)), result.rows);
    EXPECT_EQ(decodeKeys(encodeKeys({ key })), std::vector { key });
    const ScanRequest scan { .table = "t", .prefix = "p", .limit = 5 };
    EXPECT_EQ(decodeScan(encodeScan(scan)), scan);
}

// Guards against a crash on a damaged answer of the table service.
TEST(CodecTest, RejectsDamagedBytes)
{
    constexpr std::uint64_t seed = 5;
    RecordProperty("seed", std::to_string(seed));
    base::SeededRandom random { seed };
    const auto valid = encodeResult({ .committed = true, .rows = { { .key = key, .value = bytes, .version = 7 } } });
    for (int i = 0; i < 5000; ++i) {
        auto damaged = valid;
        damaged[random.below(damaged.size())] = static_cast<char>(random.below(256));
        (void)decodeResult(damaged);
        (void)decodeTransaction(damaged);
    }
    EXPECT_FALSE(decodeResult(""));
    EXPECT_FALSE(decodeResult(valid.substr(0, valid.size() - 1)));
}

} // namespace chivewinch::store_http
