#include "relay/codec.hpp"
#include "relay/peers.hpp"

#include <gtest/gtest.h>

namespace chivewinch::relay {
namespace {

using namespace std::chrono_literals;

Peer peer(const std::string& instance, const std::string& zone = "z")
{
    return { .instance = instance, .zone = zone, .endpoint = { .address = "10.0.0.1", .port = 80 } };
}

watch::RowChange row(const std::string& instance, const std::string& zone = "z")
{
    return { .key = instance, .value = encode(peer(instance, zone)) };
}

TEST(PeerList, ReadsAtTheFirstPeerOfTheZone)
{
    PeerList peers { peer("e3"), {} };
    const base::SteadyTime now { 1h };
    EXPECT_EQ(peers.source(now), std::nullopt);
    peers.replace({ row("e1", "y"), row("e2"), row("e3"), row("e4") });
    EXPECT_EQ(peers.source(now), peer("e2"));
    EXPECT_EQ(peers.count(), 4U);
    EXPECT_EQ(peers.place(), 2U);
    peers.change({ { .key = "e2", .value = std::nullopt } });
    EXPECT_EQ(peers.source(now), std::nullopt);
}

// Guards against processes that keep waiting for a peer that is permanently gone, and against two processes that read
// from each other.
TEST(PeerList, DoublesTheBackoffOfUnresponsivePeers)
{
    PeerList peers { peer("e3"), {} };
    base::SteadyTime now { 1h };
    peers.replace({ row("e1"), row("e2"), row("e3"), row("e4") });
    peers.recordTimeout("e1", now);
    EXPECT_EQ(peers.source(now), peer("e2"));
    peers.recordTimeout("e2", now);
    EXPECT_EQ(peers.source(now), std::nullopt);
    now += 5s;
    EXPECT_EQ(peers.source(now), peer("e1"));
    peers.recordTimeout("e1", now);
    now += 9s;
    EXPECT_EQ(peers.source(now), peer("e2"));
    now += 1s;
    EXPECT_EQ(peers.source(now), peer("e1"));
    peers.recordSuccess("e1");
    peers.recordTimeout("e1", now);
    EXPECT_EQ(peers.source(now + 5s), peer("e1"));
}

// Guards against every process querying every other one when the first peer is lost.
TEST(PeerList, TriesFewPeersAndTheFirstOneAgainSoonAfterARefusal)
{
    PeerList peers { peer("e9"), {} };
    const base::SteadyTime now { 1h };
    peers.replace({ row("e1"), row("e2"), row("e3"), row("e4"), row("e9") });
    for (const auto* instance : { "e1", "e2", "e3" })
        peers.recordRefusal(instance, now);
    EXPECT_EQ(peers.source(now), std::nullopt);
    EXPECT_EQ(peers.source(now + 1s), peer("e1"));
}

// Guards against a peer that is skipped at its new address because of failures at the old one.
TEST(PeerList, ClearsTheBackoffOfAPeerWithANewAddress)
{
    PeerList peers { peer("e3"), {} };
    const base::SteadyTime now { 1h };
    peers.replace({ row("e1") });
    peers.recordTimeout("e1", now);
    auto moved = peer("e1");
    moved.endpoint.address = "10.0.0.2";
    peers.change({ { .key = "e1", .value = encode(moved) } });
    EXPECT_EQ(peers.source(now), moved);
}

TEST(PeerList, IgnoresRowsThatNameNoPeer)
{
    PeerList peers { peer("e3"), {} };
    for (const auto* value : { "", "null", "[]", "{}", R"({"zone":"z"})", R"({"zone":"z","address":7})",
             R"({"zone":"z","address":"somewhere"})" }) {
        peers.replace({ { .key = "e1", .value = value } });
        EXPECT_EQ(peers.source(base::SteadyTime { 1h }), std::nullopt) << value;
    }
}

TEST(RelayCodec, RoundTripsMessages)
{
    const RelayQuery query { .tables
        = { { "a", { .version = 7, .position = CopyPosition { .copy = 1ULL << 63U, .revision = 3 } } },
            { "b", { .version = 7 } }, { "c", {} } },
        .wait = 400ms };
    EXPECT_EQ(decodeQuery(encode(query)), query);
    RelayAnswer answer;
    for (const auto kind : { UpdateKind::Snapshot, UpdateKind::Changes, UpdateKind::Behind })
        answer.tables.emplace(std::to_string(static_cast<int>(kind)),
            TableUpdate { .kind = kind,
                .page = { .rows = { { .key = "k", .value = "v" }, { .key = "gone" } }, .version = 9 },
                .position = { .copy = 5, .revision = 4 },
                .age = kind == UpdateKind::Behind ? -300ms : 900ms });
    EXPECT_EQ(decodeAnswer(encode(answer)), answer);
    const ContactAnswer contact { .contact = 5s };
    EXPECT_EQ(decodeContactAnswer(encode(contact)), contact);
    for (const auto* body : { "", "{", "\xf6", "text" }) {
        EXPECT_EQ(decodeQuery(body), std::nullopt);
        EXPECT_EQ(decodeAnswer(body), std::nullopt);
        EXPECT_EQ(decodeContactAnswer(body), std::nullopt);
    }
}

} // namespace
} // namespace chivewinch::relay
