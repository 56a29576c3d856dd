#include "wire/cbor.hpp"
#include "wire/parse.hpp"

#include <gtest/gtest.h>

#include <string>

namespace chivewinch::wire {
namespace {

std::string nestedJson(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

// Guards against values of other writers whose nesting exhausts the stack when they are read or written again.
TEST(ParseTest, LimitsTheNestingInEachEncoding)
{
    EXPECT_FALSE(parseJson(nestedJson(maxNesting)).is_discarded());
    EXPECT_FALSE(parseCbor(std::string(maxNesting, '\x81') + '\x01').is_discarded());
    EXPECT_FALSE(parseMsgpack(std::string(maxNesting, '\x91') + '\x01').is_discarded());
    for (const auto depth : { maxNesting + 1, std::size_t { 1'000'000 } }) {
        EXPECT_TRUE(parseJson(nestedJson(depth)).is_discarded());
        EXPECT_TRUE(parseJson<nlohmann::ordered_json>(nestedJson(depth)).is_discarded());
        EXPECT_TRUE(parseCbor(std::string(depth, '\x81') + '\x01').is_discarded());
        EXPECT_TRUE(parseMsgpack(std::string(depth, '\x91') + '\x01').is_discarded());
        // Objects: a map with one entry, whose key is "a".
        std::string cbor;
        std::string msgpack;
        for (std::size_t level = 0; level < depth; ++level) {
            cbor += "\xA1\x61\x61";
            msgpack += "\x81\xA1\x61";
        }
        EXPECT_TRUE(parseCbor(cbor + '\x01').is_discarded());
        EXPECT_TRUE(parseMsgpack(msgpack + '\x01').is_discarded());
    }
}

// Guards against a length that is larger than the input and makes the process allocate or throw.
TEST(ParseTest, RejectsLengthsBeyondTheInput)
{
    const std::string huge(8, '\xFF');
    for (const char type : { '\x5B', '\x7B', '\x9B', '\xBB' })
        EXPECT_TRUE(parseCbor(type + huge).is_discarded());
    for (const char type : { '\xC6', '\xDB', '\xDD', '\xDF' })
        EXPECT_TRUE(parseMsgpack(type + huge.substr(0, 4)).is_discarded());
    EXPECT_TRUE(parseJson("1e999").is_discarded());
    EXPECT_TRUE(parseJson("").is_discarded());
}

// Guards against numbers that are cut to fewer bits.
TEST(ParseTest, ReadsUnsignedNumbersWithinTheirRange)
{
    EXPECT_EQ(parseUnsigned<std::uint16_t>(parseJson("65535")), 65'535U);
    for (const auto* text : { "65536", "-1", "1.0", "1e3", "\"1\"", "null", "18446744073709551616" })
        EXPECT_THROW((void)parseUnsigned<std::uint16_t>(parseJson(text)), std::out_of_range) << text;
    EXPECT_FALSE(decodeCbor("\xFF", [](const nlohmann::json& value) { return value.size(); }));
}

} // namespace
} // namespace chivewinch::wire
