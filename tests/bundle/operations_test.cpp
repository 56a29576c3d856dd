#include "bundle/operations.hpp"
#include "bundle/sample.hpp"
#include "lease/lease_record.hpp"
#include "store/client.hpp"
#include "store/memory_store.hpp"
#include "support/fake_scheduler.hpp"
#include "support/faulty_store.hpp"
#include "support/schedules.hpp"

#include <gtest/gtest.h>

#include <iostream>
#include <map>
#include <memory>
#include <set>

namespace chivewinch::bundle {

using namespace std::chrono_literals;

namespace {

/** Operations of one operator, on a store client that uses the faulty store. */
struct Operator {
    Operator(support::FaultyTableService& tables, support::FaultyObjectStore& objects, store::Scheduler& scheduler,
        const base::Clock& clock, base::RandomSource& random, const std::string& name, OperationsOptions options)
        : client { tables, objects, scheduler, clock, random, { .limitOperations = false } }
        , operations { this->client.tables(), this->client.objects(), random, sample::trustedKeys(), name, options }
    {
    }

    store::Client client;
    Operations operations;
};

/** Outcome of one operation. */
struct Result {
    bool ended = false;
    std::optional<VersionRecord> record;
    Error error;
};

class OperationsHarness {
public:
    explicit OperationsHarness(std::uint64_t seed = 1, OperationsOptions options = {})
        : random { seed }
    {
        for (const auto* name : { "anna", "ben" })
            this->operators.push_back(std::make_unique<Operator>(
                this->tables, this->objects, this->scheduler, this->clock, this->random, name, options));
    }

    base::ManualClock clock;
    support::FakeScheduler scheduler { this->clock };
    base::SeededRandom random;
    store::MemoryTableService tableMemory;
    store::MemoryObjectStore objectMemory;
    support::FaultyTableService tables { this->tableMemory, this->scheduler, this->random };
    support::FaultyObjectStore objects { this->objectMemory, this->scheduler, this->random };
    std::vector<std::unique_ptr<Operator>> operators;

    Operations& anna() { return this->operators[0]->operations; }
    Operations& ben() { return this->operators[1]->operations; }

    static Operations::RecordCallback storeIn(Result& result)
    {
        return [&result](const auto& record, const Error& error) { result = { true, record, error }; };
    }

    /** Runs one operation to its end. */
    template <typename Call> Result run(Call call)
    {
        Result result;
        call(OperationsHarness::storeIn(result));
        for (int i = 0; i < 2000 && !result.ended; ++i)
            this->scheduler.runFor(100ms);
        EXPECT_TRUE(result.ended);
        return result;
    }

    Result propose(Operations& by, const Bundle& bundle, base::BundleVersion base)
    {
        return this->run([&](auto callback) { by.propose(bundle, base, callback); });
    }

    Result sign(base::BundleVersion version, const std::string& owner)
    {
        return this->run([&](auto callback) { this->anna().sign(version, owner, sample::keyOf(owner), callback); });
    }

    Result roll(Operations& by, base::BundleVersion version)
    {
        return this->run([&](auto callback) { by.roll(version, callback); });
    }

    /** Proposes and signs; returns the version. */
    base::BundleVersion proposeSigned(const Bundle& bundle, base::BundleVersion base)
    {
        const auto proposed = this->propose(this->anna(), bundle, base);
        EXPECT_TRUE(proposed.record) << proposed.error.detail;
        const auto version = proposed.record ? proposed.record->proof.version : base::BundleVersion {};
        EXPECT_TRUE(this->sign(version, sample::firstOwner).record);
        EXPECT_TRUE(this->sign(version, sample::secondOwner).record);
        return version;
    }

    VersionRecord row(base::BundleVersion version)
    {
        return decodeVersion(this->tableMemory.row(versionKey(version)).value).value_or(VersionRecord {});
    }
};

} // namespace

TEST(OperationsTest, VersionRunsThroughItsLifeCycle)
{
    OperationsHarness harness;
    const auto first = harness.proposeSigned(sample::withRate(1), {});
    EXPECT_EQ(harness.row(first).state, State::Signed);
    EXPECT_TRUE(harness.roll(harness.anna(), first).record);
    EXPECT_EQ(harness.row(first).state, State::Rolling);
    const lease::LeaseRecord held { .holder = "entry", .nonce = "n", .fencing = base::FencingNumber { 3 } };
    const store::RowKey leaseKey { .table = std::string { lease::leaseTable }, .key = std::string { rolloutLease } };
    harness.tableMemory.transact({ .conditions = {}, .writes = { { .key = leaseKey, .value = lease::encode(held) } } },
        [](const auto&, const store::Error&) {});
    const auto confirm = [&](std::uint64_t number) {
        return harness.run(
            [&](auto callback) { harness.anna().confirm(first, base::FencingNumber { number }, callback); });
    };
    EXPECT_EQ(confirm(2).error.code, ErrorCode::LostRace);
    EXPECT_TRUE(confirm(3).record);
    EXPECT_EQ(harness.row(first).state, State::InForce);
    const auto second = harness.proposeSigned(sample::withRate(2), first);
    EXPECT_TRUE(harness.roll(harness.ben(), second).record);
    EXPECT_EQ(harness.row(first).state, State::Superseded);
    EXPECT_EQ(harness.row(second).rolledBy, "ben");
    std::optional<Bundle> loaded;
    harness.ben().load(second, [&](const auto& bundle, const Error&) { loaded = bundle; });
    harness.scheduler.runFor(10s);
    EXPECT_EQ(loaded, sample::withRate(2));
}

// Guards against a roll of a version that an owner has not signed, and against a signature with another owner's key.
TEST(OperationsTest, IncompletelySignedVersionDoesNotRoll)
{
    OperationsHarness harness;
    const auto version = harness.propose(harness.anna(), sample::withRate(1), {}).record->proof.version;
    EXPECT_EQ(harness.roll(harness.anna(), version).error.code, ErrorCode::WrongState);
    EXPECT_TRUE(harness.sign(version, sample::firstOwner).record);
    EXPECT_EQ(harness.roll(harness.anna(), version).error.code, ErrorCode::WrongState);
    const auto foreign = harness.run([&](auto callback) {
        harness.anna().sign(version, sample::secondOwner, sample::keyOf(sample::firstOwner), callback);
    });
    EXPECT_EQ(foreign.error.code, ErrorCode::BadSignature);
    EXPECT_EQ(harness.row(version).state, State::Proposed);
}

// Guards against two operators who both believe that their version is in force.
TEST(OperationsTest, OneOfTwoRacingOperatorsWinsAndTheOtherLearnsWhoWon)
{
    OperationsHarness harness;
    const auto base = harness.proposeSigned(sample::withRate(1), {});
    ASSERT_TRUE(harness.roll(harness.anna(), base).record);
    const auto first = harness.proposeSigned(sample::withRate(2), base);
    const auto second = harness.proposeSigned(sample::withRate(3), base);
    Result anna;
    Result ben;
    harness.anna().roll(first, OperationsHarness::storeIn(anna));
    harness.ben().roll(second, OperationsHarness::storeIn(ben));
    harness.scheduler.runFor(30s);
    ASSERT_TRUE(anna.ended && ben.ended);
    EXPECT_NE(anna.record.has_value(), ben.record.has_value());
    const auto& loser = anna.record ? ben : anna;
    EXPECT_EQ(loser.error.code, ErrorCode::LostRace);
    EXPECT_NE(loser.error.detail.find(anna.record ? "anna" : "ben"), std::string::npos) << loser.error.detail;
}

// Guards against an edit that undoes another one. Shows that the comparison of the base version prevents it.
TEST(OperationsTest, EditOfAnOlderVersionDoesNotUndoTheNewerOne)
{
    for (const bool compareBase : { true, false }) {
        OperationsHarness harness { 1, { .compareBase = compareBase } };
        const auto base = harness.proposeSigned(sample::withRate(1), {});
        ASSERT_TRUE(harness.roll(harness.anna(), base).record);
        const auto first = harness.proposeSigned(sample::withRate(2), base);
        const auto second = harness.proposeSigned(sample::withRate(3), base);
        ASSERT_TRUE(harness.roll(harness.anna(), first).record);
        const auto late = harness.roll(harness.ben(), second);
        EXPECT_EQ(late.record.has_value(), !compareBase);
        EXPECT_EQ(harness.propose(harness.ben(), sample::withRate(4), base).record.has_value(), !compareBase);
    }
}

// Guards against a withdrawal that lowers the version in force.
TEST(OperationsTest, WithdrawalIsANewVersionWithOlderContent)
{
    OperationsHarness harness;
    const auto first = harness.proposeSigned(sample::withRate(1), {});
    ASSERT_TRUE(harness.roll(harness.anna(), first).record);
    const auto second = harness.proposeSigned(sample::withRate(2), first);
    ASSERT_TRUE(harness.roll(harness.anna(), second).record);
    const auto withdrawn = harness.run([&](auto callback) { harness.ben().withdraw(second, callback); });
    ASSERT_TRUE(withdrawn.record) << withdrawn.error.detail;
    const auto third = withdrawn.record->proof.version;
    EXPECT_GT(third, second);
    EXPECT_EQ(withdrawn.record->proof.content, harness.row(first).proof.content);
    EXPECT_EQ(harness.roll(harness.ben(), third).error.code, ErrorCode::WrongState);
    EXPECT_TRUE(harness.sign(third, sample::firstOwner).record && harness.sign(third, sample::secondOwner).record);
    EXPECT_TRUE(harness.roll(harness.ben(), third).record);
    EXPECT_EQ(harness.row(second).state, State::Withdrawn);
    const auto unrolled = harness.propose(harness.anna(), sample::withRate(9), third).record->proof.version;
    EXPECT_TRUE(harness.run([&](auto callback) { harness.ben().withdraw(unrolled, callback); }).record);
    EXPECT_EQ(harness.sign(unrolled, sample::firstOwner).error.code, ErrorCode::WrongState);
}

// Guards against a signature for content that the owner cannot have seen.
TEST(OperationsTest, DamagedOrMissingPartIsNotSigned)
{
    OperationsHarness harness;
    const auto version = harness.propose(harness.anna(), sample::withRate(1), {}).record->proof.version;
    const auto name = harness.objectMemory.all().lower_bound("bundle/part/")->first;
    const auto bytes = harness.objectMemory.all().at(name);
    harness.objectMemory.overwrite(name, bytes + "x");
    EXPECT_EQ(harness.sign(version, sample::firstOwner).error.code, ErrorCode::Altered);
    harness.objectMemory.remove(name);
    EXPECT_EQ(harness.sign(version, sample::firstOwner).error.code, ErrorCode::MissingPart);
    harness.objectMemory.overwrite(name, bytes);
    EXPECT_TRUE(harness.sign(version, sample::firstOwner).record);
}

TEST(OperationsTest, InvalidBundleIsNotStored)
{
    OperationsHarness harness;
    EXPECT_EQ(harness.propose(harness.anna(), Bundle {}, {}).error.code, ErrorCode::Invalid);
    EXPECT_TRUE(harness.objectMemory.all().empty());
}

TEST(OperationsTest, StoreDownIsReported)
{
    OperationsHarness harness;
    harness.tables.faults().down = true;
    EXPECT_EQ(harness.propose(harness.anna(), sample::withRate(1), {}).error.code, ErrorCode::StoreUnavailable);
}

namespace {

/** Both operators propose, sign and roll at random; returns a description of the first broken invariant. */
std::string runOperations(std::uint64_t seed, std::size_t& rolled, OperationsOptions options = {})
{
    OperationsHarness harness { seed, options };
    auto& faults = harness.tables.faults();
    faults.lostAcknowledgement = 0.5 * harness.random.unit();
    faults.lostRequest = 0.2 * harness.random.unit();
    faults.maxDelay = std::chrono::milliseconds { 1 + harness.random.below(800) };
    std::vector<std::unique_ptr<Result>> rolls;
    std::vector<base::BundleVersion> versions;
    base::BundleVersion current {};
    for (std::uint64_t round = 1; round <= 3; ++round) {
        std::vector<std::unique_ptr<Result>> proposals;
        for (auto* by : { &harness.anna(), &harness.ben() }) {
            proposals.push_back(std::make_unique<Result>());
            by->propose(sample::withRate(10 * round + proposals.size()), current,
                OperationsHarness::storeIn(*proposals.back()));
        }
        harness.scheduler.runFor(90s);
        for (std::size_t i = 0; i < proposals.size(); ++i) {
            if (!proposals[i]->record)
                continue;
            const auto version = proposals[i]->record->proof.version;
            std::vector<std::unique_ptr<Result>> signatures;
            for (const auto& owner : { sample::firstOwner, sample::secondOwner }) {
                signatures.push_back(std::make_unique<Result>());
                harness.operators[i]->operations.sign(
                    version, owner, sample::keyOf(owner), OperationsHarness::storeIn(*signatures.back()));
            }
            harness.scheduler.runFor(90s);
            versions.push_back(version);
        }
        for (std::size_t i = 0; i < versions.size(); ++i) {
            rolls.push_back(std::make_unique<Result>());
            harness.operators[i % 2]->operations.roll(versions[i], OperationsHarness::storeIn(*rolls.back()));
        }
        harness.scheduler.runFor(90s);
        const auto head = decodeHead(harness.tableMemory.row(headKey()).value);
        if (!head || !head->rolled)
            continue;
        if (head->rolled->version < current)
            return "the version in force went back";
        std::set<base::BundleVersion> won;
        for (const auto& roll : rolls) {
            if (roll->record)
                won.insert(roll->record->proof.version);
        }
        for (const auto version : won) {
            if (version > head->rolled->version)
                return "a roll was reported that is not in the store";
        }
        Error reason;
        if (!verifyProof(*head->rolled, sample::trustedKeys(), reason))
            return "an unsigned version rolled";
        // Of all versions with one base, at most one may have rolled.
        std::map<base::BundleVersion, int> rolledByBase;
        for (std::uint64_t version = 1; version <= static_cast<std::uint64_t>(head->last); ++version) {
            const auto record = harness.row(base::BundleVersion { version });
            if (!record.rollNonce.empty() && ++rolledByBase[record.proof.base] > 1)
                return "two versions rolled over the same one";
        }
        rolled += won.size();
        current = head->rolled->version;
        versions.clear();
    }
    return {};
}

} // namespace

// Guards against racing operators under lost acknowledgements: at most one version rolls over each version.
TEST(OperationsPropertyTest, AtMostOneWinnerUnderLostAcknowledgements)
{
    constexpr std::uint64_t firstSeed = 50'000;
    constexpr std::uint64_t schedules = support::schedulesToRun(1000);
    std::cout << "seeds " << firstSeed << " to " << firstSeed + schedules - 1 << std::endl;
    std::size_t rolled = 0;
    for (auto seed = firstSeed; seed < firstSeed + schedules; ++seed)
        ASSERT_EQ(runOperations(seed, rolled), "") << "seed " << seed;
    std::cout << rolled << " successful rolls" << std::endl;
    EXPECT_GT(rolled, schedules);
    int broken = 0;
    for (auto seed = firstSeed; seed < firstSeed + 200; ++seed)
        broken += runOperations(seed, rolled, { .compareBase = false }).empty() ? 0 : 1;
    std::cout << broken << " schedules break an invariant without the base comparison" << std::endl;
    EXPECT_GT(broken, 10) << "the schedules never reach a race that the base comparison decides";
}

} // namespace chivewinch::bundle
