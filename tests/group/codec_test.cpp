#include "base/random.hpp"
#include "group/codec.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace chivewinch::group {
namespace {

Member member(std::uint32_t rank)
{
    return { .id = "engine-" + std::to_string(rank),
        .endpoint = { .address = "10.0.0." + std::to_string(rank), .port = 8'000 },
        .epoch = 3,
        .rank = rank };
}

RankQuery query()
{
    return { .group = "g",
        .members = { member(4), member(5) },
        .wantsLoads = true,
        .orders = { { .rank = 5, .kind = expert::MapOrderKind::Arm, .epoch = 3, .version = 9, .step = 70 } },
        .map = fullUpdate({ { { 0, 1 }, { 2 } }, { { 0 }, { 1, 2 } } }, 9) };
}

RankAnswers answers()
{
    const MemberReport plain { .group = "g", .rank = 4, .size = 16, .pace = 1.6, .maps = { .epoch = 3, .step = 70 } };
    auto armed = plain;
    armed.rank = 5;
    armed.maps.open = true;
    armed.maps.prepared = 9;
    armed.maps.armed = expert::ArmedMap { .version = 9, .step = 70 };
    armed.maps.held = 70;
    return { .reports = { { 4, plain }, { 5, armed } },
        .replies = { { .order = query().orders.front(), .reply = OrderReply::Done } },
        .loads = { 0, 4, 65'025 } };
}

TEST(GroupCodec, RoundTripsMessages)
{
    EXPECT_EQ(decodeQuery(encode(query())), query());
    EXPECT_EQ(decodeAnswers(encode(answers())), answers());
    const RankExperts experts { .epoch = 3, .version = 9, .layers = { { 1, 2 }, { 3 } } };
    EXPECT_EQ(decodeExperts(encode(experts)), experts);
}

// Guards against an agent that terminates on an invalid message from a peer.
TEST(GroupCodec, RefusesOtherBodies)
{
    for (const auto* body : { "", "{", "[]", "null", R"({"epoch":"x","tokens":[]})",
             R"({"epoch":1,"tokens":[-1.5,"a"]})", R"({"epoch":1,"version":1,"layers":[1]})" }) {
        EXPECT_EQ(decodeQuery(body), std::nullopt) << body;
        EXPECT_EQ(decodeAnswers(body), std::nullopt) << body;
        EXPECT_EQ(decodeExperts(body), std::nullopt) << body;
    }
}

// Guards against an agent that terminates on a message that was truncated or corrupted in transit. The decoders may
// reject or accept such a body.
TEST(GroupCodec, SurvivesChangedBytes)
{
    constexpr std::uint64_t seed = 20'261'204;
    constexpr int rounds = 20'000;
    base::SeededRandom random { seed };
    for (int round = 0; round < rounds; ++round) {
        auto body = round % 2 == 0 ? encode(query()) : encode(answers());
        for (std::uint64_t change = random.below(4); change > 0; --change)
            body[random.below(body.size())] = static_cast<char>(random.below(256));
        body.resize(random.below(body.size() + 1));
        (void)decodeQuery(body);
        (void)decodeAnswers(body);
    }
}

// Guards against rounding errors that accumulate because each agent on the path rounds the loads.
TEST(GroupCodec, KeepsLoadsWithinHalfAPercentOfTheLargest)
{
    base::SeededRandom random { 5 };
    RankAnswers sent;
    for (int expert = 0; expert < 500; ++expert)
        sent.loads.push_back(random.unit() * random.unit() * 10'000);
    const auto received = decodeAnswers(encode(sent)).value().loads;
    ASSERT_EQ(received.size(), sent.loads.size());
    for (std::size_t expert = 0; expert < received.size(); ++expert)
        EXPECT_NEAR(received[expert], sent.loads[expert], 50) << expert;
}

// Guards against messages that saturate the link of the first rank's machine. At 8 Mbit/s, sending maps and counts as
// decimal text took 0.7 s for a group of 72 ranks, and a change of the map took 2.4 s.
TEST(GroupCodec, IsCompact)
{
    constexpr std::size_t ranks = 72;
    constexpr std::size_t layers = 12;
    constexpr std::size_t experts = 144;
    auto prepare = query();
    prepare.map = fullUpdate(GroupMap(layers, expert::LayerPlacement(ranks, { 100, 120, 143 })), 9);
    EXPECT_LT(encode(prepare).size(), 7'000);
    auto loads = answers();
    loads.loads.assign(layers * experts, 4'000);
    EXPECT_LT(encode(loads).size(), 2'000);
}

// Guards against a message that ends the process because reading it takes stack space for each level of nesting.
TEST(GroupCodec, RejectsDeeplyNestedMessages)
{
    for (const std::size_t depth : { 65U, 1'000U, 1'000'000U }) {
        EXPECT_FALSE(decodeQuery(std::string(depth, '\x81')));
        EXPECT_FALSE(decodeAnswers(std::string(depth, '\x81')));
        EXPECT_FALSE(decodeExperts(std::string(depth, '[')));
    }
}

// Guards against numbers that are cut to fewer bits, and against an address that ends the process when it is used.
TEST(GroupCodec, RejectsNumbersAndAddressesOutOfRange)
{
    const auto withMember = [](const nlohmann::json& member) {
        auto value = nlohmann::json::from_cbor(encode(query()));
        value["members"] = nlohmann::json::array({ member });
        std::string body;
        nlohmann::json::to_cbor(value, body);
        return decodeQuery(body);
    };
    EXPECT_TRUE(withMember({ "i", "10.0.0.1", 80, 1, 2 }));
    EXPECT_FALSE(withMember({ "i", "10.0.0.1", 65'536, 1, 2 }));
    EXPECT_FALSE(withMember({ "i", "10.0.0.1", 0, 1, 2 }));
    EXPECT_FALSE(withMember({ "i", "10.0.0.1", 80, 1, 4'294'967'296 }));
    EXPECT_FALSE(withMember({ "i", "10.0.0.1", 80.5, 1, 2 }));
    EXPECT_FALSE(withMember({ "i", "nowhere", 80, 1, 2 }));
    EXPECT_FALSE(decodeExperts(R"({"epoch":1,"version":1,"layers":[[65536]]})"));
    EXPECT_FALSE(decodeExperts(R"({"epoch":-1,"version":1,"layers":[[1]]})"));
}

} // namespace
} // namespace chivewinch::group
