#include "platform/decode.hpp"
#include "platform/decode_engine.hpp"

#include <gtest/gtest.h>

#include <string>

namespace chivewinch::platform {
namespace {

std::string entry(const std::string& fields)
{
    return R"({"service":"s","state":"ready","zone":"z","group":{"name":"g","rank":1,"state":"open"},)" + fields + "}";
}

const std::string address = R"("address":"10.0.0.1:80")";

std::string nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

// Guards against an entry of another writer that ends the process, or is used as a target.
TEST(OddEntries, AreNoTargets)
{
    const std::string fields[] = { R"("address":"10.0.0.1:0")", R"("address":"10.0.0.1:65536")",
        R"("address":"10.0.0.1:-1")", R"("address":"10.0.0.1:99999999999999999999")", R"("address":"0.0.0.0:80")",
        R"("address":"[::]:80")", R"("address":"224.0.0.1:80")", R"("address":"10.0.0.256:80")",
        R"("address":["10.0.0.1:80"])", address + R"(,"slots":4294967296)", address + R"(,"slots":1e300)",
        address + R"(,"slots":1e999)", address + R"(,"slots":-1)", address + R"(,"born":18446744073709551616)",
        address + R"(,"born":{})", address + R"(,"note":)" + nested(65), address + R"(,"note":)" + nested(1'000'000),
        address + R"(,"note":)" + std::string(1'000'000, '['), address + ",\"note\":\"\xC3\x28\"" };
    for (const auto& odd : fields) {
        std::string reason;
        EXPECT_FALSE(decodeTarget("i-1", entry(odd), reason)) << odd.substr(0, 100);
        EXPECT_FALSE(reason.empty()) << odd.substr(0, 100);
    }
    std::string reason;
    EXPECT_TRUE(decodeTarget("i-1", entry(address + R"(,"note":)" + nested(10)), reason)) << reason;
}

// Guards against a name that adds header fields to the requests that state it.
TEST(OddEntries, WithNamesThatAreNoHeaderValuesAreNoTargets)
{
    const std::string ids[] = { "", "i\r\nX-Api-Key: k", "i\n", std::string { "i\0", 2 }, "i 1", "\x7F", "\xC3\xA9" };
    for (const auto& id : ids) {
        std::string reason;
        EXPECT_FALSE(decodeTarget(id, entry(address), reason)) << id;
    }
}

// Guards against numbers of another writer that are cut to fewer bits and then name another rank or expert.
TEST(OddEntries, AreNoMembersOfAGroup)
{
    const auto member = [](const std::string& rank, const std::string& where) {
        return decodeMember("i-1",
            R"({"service":"s","group":{"name":"g","epoch":1,"rank":)" + rank + R"(},"address":")" + where + R"("})",
            "s", "g");
    };
    EXPECT_TRUE(member("1", "10.0.0.1:80"));
    EXPECT_FALSE(member("4294967296", "10.0.0.1:80"));
    EXPECT_FALSE(member("1e300", "10.0.0.1:80"));
    EXPECT_FALSE(member("1", "10.0.0.1:0"));
    EXPECT_FALSE(member(nested(1'000'000), "10.0.0.1:80"));
}

TEST(OddEntries, AreNoCountsOrMaps)
{
    EXPECT_TRUE(decodeCounts(R"({"epoch":1,"counts":[1,2]})"));
    for (const auto* counts : { "[-1]", "[1e300]", "[1.5]", "[\"1\"]", "{}", "7" })
        EXPECT_FALSE(decodeCounts(std::string { R"({"epoch":1,"counts":)" } + counts + "}")) << counts;
    const auto experts = [](const std::string& list) {
        return decodeExperts(R"({"epoch":1,"mapping":{"version":1,"experts":)" + list + "}}");
    };
    EXPECT_TRUE(experts("[[0,65535]]"));
    for (const auto* list : { "[[65536]]", "[[-1]]", "[[1e300]]", "[7]", "7", "[[[]]]" })
        EXPECT_FALSE(experts(list)) << list;
    EXPECT_FALSE(decodeReport(R"({"size":4294967296,"group":{"name":"g","rank":1,"state":"open"}})"));
    EXPECT_FALSE(decodeReport(R"({"size":1,"group":)" + nested(1'000'000) + "}"));
}

// Guards against a list that is not followed any more because of one odd row.
TEST(OddEntries, DoNotHideTheOtherRows)
{
    const auto rows = decodeRows(
        R"({"ver":5,"rows":[{"key":"a","value":"e30="},{"key":"b","value":7},{"key":7},{},7,{"key":"c"}]})");
    ASSERT_TRUE(rows);
    ASSERT_EQ(rows->page.rows.size(), 3U);
    EXPECT_EQ(rows->page.rows[0].value, "{}");
    EXPECT_EQ(rows->page.rows[1].value, "");
    EXPECT_EQ(rows->page.rows[2].key, "c");
}

} // namespace
} // namespace chivewinch::platform
