#include "bundle/delta.hpp"
#include "bundle/life_cycle.hpp"
#include "bundle/replica.hpp"
#include "bundle/sample.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdio>
#include <set>
#include <unistd.h>

namespace chivewinch::bundle {

namespace {

Proof proofOf(const Bundle& bundle, std::uint64_t version)
{
    return sample::sign({ .version = base::BundleVersion { version },
        .base = base::BundleVersion { version - 1 },
        .content = contentHash(bundle),
        .signatures = {} });
}

} // namespace

// Test vector 2 of RFC 8032, section 7.1.
TEST(SignatureTest, MatchesPublishedVector)
{
    Error reason;
    const auto key
        = PrivateKey::fromSeed(fromHex("4ccd089b28ff96da9db6c346ec114e0f5b8a319f35aba624da8cf6ed4fb8a6fb"), reason);
    ASSERT_TRUE(key);
    EXPECT_EQ(key->publicKey(), "3d4017c3e843895a92b70aa74d1b7ebc9c982ccf2ec4968cc0cd55f12af4660c");
    EXPECT_EQ(key->sign("\x72"),
        "92a009a9f0d4cab8720e820b5f642540a2b27b5416503f8fb3762223ebdb69da"
        "085ac1e43e15996e458f3613d0f11d8c387b2eaeb4302aeeb00d291612bb0c00");
    EXPECT_TRUE(verify(key->publicKey(), "\x72", key->sign("\x72")));
    EXPECT_FALSE(verify(key->publicKey(), "\x73", key->sign("\x72")));
}

// Guards against private keys that other users can read.
TEST(SignatureTest, KeyFileIsPrivateAndRoundTrips)
{
    const auto path = testing::TempDir() + "chivewinch-key-" + std::to_string(::getpid());
    Error reason;
    const auto key = PrivateKey::generate();
    ASSERT_TRUE(writeKeyFile(path, key, reason)) << reason.detail;
    EXPECT_FALSE(writeKeyFile(path, key, reason));
    const auto read = readKeyFile(path, reason);
    ASSERT_TRUE(read) << reason.detail;
    EXPECT_EQ(read->publicKey(), key.publicKey());
    const auto command = "chmod 644 " + path;
    ASSERT_EQ(std::system(command.c_str()), 0);
    EXPECT_FALSE(readKeyFile(path, reason));
    std::remove(path.c_str());
    EXPECT_FALSE(PrivateKey::fromPem("no key", reason));
}

class ReplicaTest : public testing::Test {
protected:
    Bundle bundle = sample::bundle(20, 5);
    Replica replica { sample::trustedKeys() };

    ErrorCode refusalOf(const Proof& proof, const Bundle& content)
    {
        return this->replica.apply(proof, encode(content)) ? ErrorCode::None : this->replica.lastReason().code;
    }
};

// Guards against a version that goes into force although an owner has not signed it, or has signed another version
// number or other content.
TEST_F(ReplicaTest, RefusesMissingWrongAndAlteredSignatures)
{
    const auto valid = proofOf(this->bundle, 5);
    auto missing = valid;
    missing.signatures.erase(sample::secondOwner);
    EXPECT_EQ(this->refusalOf(missing, this->bundle), ErrorCode::MissingSignature);
    auto swapped = valid;
    swapped.signatures[sample::secondOwner] = valid.signatures.at(sample::firstOwner);
    EXPECT_EQ(this->refusalOf(swapped, this->bundle), ErrorCode::BadSignature);
    auto renumbered = valid;
    renumbered.version = base::BundleVersion { 6 };
    EXPECT_EQ(this->refusalOf(renumbered, this->bundle), ErrorCode::BadSignature);
    auto altered = this->bundle;
    altered.teams[0].rate += 1;
    EXPECT_EQ(this->refusalOf(valid, altered), ErrorCode::Altered);
    EXPECT_EQ(this->replica.snapshot(), nullptr);
    EXPECT_EQ(this->refusalOf(valid, this->bundle), ErrorCode::None);
}

// Guards against a replayed old bundle. Shows that only the version guard prevents it.
TEST_F(ReplicaTest, RefusesOlderVersion)
{
    EXPECT_EQ(this->refusalOf(proofOf(this->bundle, 5), this->bundle), ErrorCode::None);
    EXPECT_EQ(this->refusalOf(proofOf(this->bundle, 4), this->bundle), ErrorCode::Older);
    EXPECT_EQ(this->refusalOf(proofOf(this->bundle, 5), this->bundle), ErrorCode::Older);
    EXPECT_EQ(this->replica.version(), base::BundleVersion { 5 });
    Replica unguarded { sample::trustedKeys(), { .requireNewerVersion = false } };
    EXPECT_TRUE(unguarded.apply(proofOf(this->bundle, 5), encode(this->bundle)));
    EXPECT_TRUE(unguarded.apply(proofOf(this->bundle, 4), encode(this->bundle)));
    Replica trusting { sample::trustedKeys(), { .verifySignatures = false } };
    EXPECT_TRUE(trusting.apply(
        { .version = base::BundleVersion { 1 }, .content = contentHash(this->bundle) }, encode(this->bundle)));
}

namespace {

/** Changes up to five records of a bundle at random and keeps its lists in order. */
Bundle changeAtRandom(Bundle bundle)
{
    const auto changes = *rc::gen::inRange(0, 6);
    for (int i = 0; i < changes; ++i) {
        const auto number = *rc::gen::inRange<std::size_t>(0, 60);
        const auto team = sample::team(number);
        std::erase_if(bundle.teams, [&](const auto& other) { return other.id == team.id; });
        if (*rc::gen::arbitrary<bool>())
            bundle.teams.push_back(team);
        if (*rc::gen::inRange(0, 4) == 0)
            bundle.targets[*rc::gen::inRange<std::size_t>(0, bundle.targets.size())].capacity
                = *rc::gen::inRange<std::uint64_t>(1, 100);
        if (*rc::gen::inRange(0, 8) == 0)
            bundle.cost.spillOver = *rc::gen::element(CostRule::ByUse, CostRule::Equal);
    }
    std::ranges::sort(bundle.teams, {}, &Team::id);
    return bundle;
}

} // namespace

// Guards against deltas whose result differs from the complete content.
RC_GTEST_PROP(DeltaPropertyTest, ChainOfDifferencesEqualsCompleteContent, ())
{
    auto bundle = sample::bundle(40, 6);
    Replica replica { sample::trustedKeys() };
    RC_ASSERT(replica.apply(proofOf(bundle, 1), encode(bundle)));
    Replica behind { sample::trustedKeys() };
    RC_ASSERT(behind.apply(proofOf(bundle, 1), encode(bundle)));
    const auto steps = *rc::gen::inRange<std::uint64_t>(1, 5);
    for (std::uint64_t version = 2; version <= 1 + steps; ++version) {
        const auto changed = changeAtRandom(bundle);
        const auto delta = difference(encode(bundle), encode(changed));
        RC_ASSERT(decodeDelta(encode(delta)) == delta);
        RC_ASSERT(replica.apply(proofOf(changed, version), delta));
        bundle = changed;
    }
    RC_ASSERT(replica.snapshot()->bundle() == bundle);
    RC_ASSERT(replica.content() == contentHash(bundle));
    const auto skipped = replica.deltaSince(base::BundleVersion { 1 });
    RC_ASSERT(skipped.has_value());
    RC_ASSERT(behind.apply(replica.proof(), *skipped));
    RC_ASSERT(behind.snapshot()->bundle() == bundle);
}

// Guards against a hash that depends on the order in which an author wrote the records.
RC_GTEST_PROP(CanonicalPropertyTest, HashIgnoresRecordOrder, ())
{
    auto bundle = sample::bundle(30, 5);
    const auto hash = contentHash(bundle);
    for (std::size_t i = bundle.teams.size() - 1; i > 0; --i)
        std::swap(bundle.teams[i], bundle.teams[*rc::gen::inRange<std::size_t>(0, i + 1)]);
    RC_ASSERT(contentHash(bundle) == hash);
}

// Guards against a transition that the documentation does not list.
TEST(LifeCycleTest, AllowsExactlyTheListedTransitions)
{
    using enum State;
    const std::map<std::pair<State, Event>, State> allowed {
        { { Draft, Event::Propose }, Proposed },
        { { Draft, Event::Withdraw }, Withdrawn },
        { { Proposed, Event::SignPartly }, Proposed },
        { { Proposed, Event::SignCompletely }, Signed },
        { { Proposed, Event::Withdraw }, Withdrawn },
        { { Signed, Event::Roll }, Rolling },
        { { Signed, Event::Withdraw }, Withdrawn },
        { { Rolling, Event::Confirm }, InForce },
        { { Rolling, Event::Supersede }, Superseded },
        { { Rolling, Event::Withdraw }, Withdrawn },
        { { InForce, Event::Supersede }, Superseded },
        { { InForce, Event::Withdraw }, Withdrawn },
    };
    for (int state = 0; state <= static_cast<int>(Withdrawn); ++state) {
        for (int event = 0; event <= static_cast<int>(Event::Withdraw); ++event) {
            const auto found = allowed.find({ static_cast<State>(state), static_cast<Event>(event) });
            const auto expected = found == allowed.end() ? std::nullopt : std::optional { found->second };
            EXPECT_EQ(next(static_cast<State>(state), static_cast<Event>(event)), expected) << state << " " << event;
        }
        EXPECT_EQ(parseState(toString(static_cast<State>(state))), static_cast<State>(state));
    }
}

} // namespace chivewinch::bundle
