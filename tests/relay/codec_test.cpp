#include "quota/message.hpp"
#include "relay/codec.hpp"
#include "relay/peers.hpp"
#include "wire/cbor.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>

namespace chivewinch::relay {
namespace {

/** One array within the other, as CBOR. */
std::string nestedCbor(std::size_t depth) { return std::string(depth, '\x81') + '\x00'; }

// Guards against a message that ends the process because reading it takes stack space for each level of nesting.
TEST(RelayCodec, RejectsDeeplyNestedMessages)
{
    for (const std::size_t depth : { 65U, 1'000U, 1'000'000U }) {
        EXPECT_FALSE(decodeQuery(nestedCbor(depth)));
        EXPECT_FALSE(decodeAnswer(nestedCbor(depth)));
        EXPECT_FALSE(decodeContactAnswer(nestedCbor(depth)));
        EXPECT_FALSE(quota::decodeLimitQuery(nestedCbor(depth)));
        EXPECT_FALSE(quota::decodeLimitAnswer(nestedCbor(depth)));
    }
}

// Guards against a message that is read as an empty one although it is not CBOR.
TEST(RelayCodec, RejectsWhatIsNotCbor)
{
    for (const std::string body : { "", "\xFF", "\x9B\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF", "{}" }) {
        EXPECT_FALSE(decodeQuery(body));
        EXPECT_FALSE(decodeAnswer(body));
        EXPECT_FALSE(quota::decodeLimitQuery(body));
    }
}

// Guards against an answer of another version of the program whose fields are read in the wrong order.
TEST(RelayCodec, RejectsOtherLayouts)
{
    EXPECT_FALSE(decodeQuery(wire::toCbor({ { "since", { { "t", 5 } } }, { "wait", 400 } })));
    EXPECT_FALSE(decodeQuery(wire::toCbor({ { "tables", { { "t", 5 } } }, { "wait", 400 } })));
    const auto rows = nlohmann::json::array({ nlohmann::json::array({ "a", "1" }) });
    EXPECT_FALSE(decodeAnswer(wire::toCbor({ { "t", nlohmann::json::array({ 5, true, rows }) } })));
    EXPECT_FALSE(decodeAnswer(wire::toCbor({ { "t", nlohmann::json::array({ 3, 5, { 1, 1 }, rows, 7 }) } })));
    EXPECT_FALSE(decodeAnswer(wire::toCbor({ { "t", nlohmann::json::array({ 0, 5, { 1, 1 }, rows }) } })));
    EXPECT_FALSE(decodeAnswer(wire::toCbor({ { "t", nlohmann::json::array({ 0, 5, { 1, 1 }, rows, 0.5 }) } })));
    EXPECT_TRUE(decodeAnswer(wire::toCbor({ { "t", nlohmann::json::array({ 0, 5, { 1, 1 }, rows, 7 }) } })));
}

// Guards against an age beyond all times that is read as that of recent rows.
TEST(RelayCodec, LimitsTheAgeOfRows)
{
    const auto ageOf = [](const nlohmann::json& age) {
        const auto update = nlohmann::json::array({ 0, 5, { 1, 1 }, nlohmann::json::array(), age });
        return decodeAnswer(wire::toCbor({ { "t", update } })).value().tables.at("t").age;
    };
    EXPECT_EQ(ageOf(std::numeric_limits<std::uint64_t>::max()), unknownAge);
    EXPECT_EQ(ageOf(std::numeric_limits<std::int64_t>::min()), -unknownAge);
    EXPECT_EQ(ageOf(7), std::chrono::milliseconds { 7 });
    EXPECT_EQ(ageOf(-7), std::chrono::milliseconds { -7 });
}

// Guards against a row of another writer that is used as the address of a peer.
TEST(RelayCodec, RejectsOddPeers)
{
    for (const std::string value : { "", "[]", R"({"zone":"z"})", R"({"zone":7,"address":"10.0.0.1:80"})",
             R"({"zone":"z","address":"10.0.0.1:0"})", R"({"zone":"z","address":"10.0.0.1:65536"})",
             R"({"zone":"z","address":"0.0.0.0:80"})", R"({"zone":"z","address":"nowhere:80"})" })
        EXPECT_FALSE(decodePeer("e", value)) << value;
    EXPECT_FALSE(decodePeer("e", R"({"zone":"z","address":)" + std::string(1'000'000, '[')));
    EXPECT_TRUE(decodePeer("e", R"({"zone":"z","address":"10.0.0.1:80"})"));
}

} // namespace
} // namespace chivewinch::relay
