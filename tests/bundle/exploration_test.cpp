#include "base/hash.hpp"
#include "bundle/controlled_table_service.hpp"
#include "bundle/operations.hpp"
#include "bundle/rollout_confirmer.hpp"
#include "bundle/sample.hpp"
#include "lease/lease.hpp"
#include "store/memory_store.hpp"
#include "support/fake_scheduler.hpp"

#include <gtest/gtest.h>

#include <iostream>
#include <memory>
#include <unordered_set>

namespace chivewinch::bundle {

using namespace std::chrono_literals;

namespace {

using sample::ControlledTableService;
using sample::OperationOutcome;

constexpr int actorCount = 4; ///< Two lease holders and two operators.
constexpr base::BundleVersion baseVersion { 1 };
constexpr base::BundleVersion firstVersion { 2 };
constexpr base::BundleVersion secondVersion { 3 };

/** One step of a schedule. */
struct Choice {
    enum class Kind : std::uint8_t { Operation, Time, Pause, Resume } kind = Kind::Time;
    int actor = 0;
    OperationOutcome outcome = OperationOutcome::Respond;
};

/** Actors that take part, and limits that make the number of schedules finite. */
struct Limits {
    std::vector<int> actors;
    int faults = 1;
    std::chrono::seconds timeStep { 0 };
    int timeSteps = 0;
    int pauses = 0; ///< Pauses of the first process, at any time while it holds the lease.
};

/** Signed rows of three versions: 1 rolled, 2 and 3 signed and based on 1. */
const std::vector<std::pair<store::RowKey, std::string>>& initialRows()
{
    static const auto rows = [] {
        std::vector<std::pair<store::RowKey, std::string>> result;
        Proof rolled;
        for (const auto version : { baseVersion, firstVersion, secondVersion }) {
            const auto proof = sample::sign({ .version = version,
                .base = version == baseVersion ? base::BundleVersion {} : baseVersion,
                .content = sha256Hex(toString(version)),
                .signatures = {} });
            rolled = version == baseVersion ? proof : rolled;
            result.emplace_back(versionKey(version),
                encode(VersionRecord { .proof = proof,
                    .state = version == baseVersion ? State::Rolling : State::Signed,
                    .author = "author",
                    .proposeNonce = toString(version),
                    .nonce = toString(version) }));
        }
        result.emplace_back(
            headKey(), encode(HeadRecord { .last = secondVersion, .rolled = rolled, .by = "author", .nonce = "head" }));
        return result;
    }();
    return rows;
}

/** Runs the production code of four actors on one in-memory store, one choice at a time. */
class Simulation {
public:
    Simulation(std::chrono::seconds timeStep, lease::LeaseOptions leaseOptions, OperationsOptions operationsOptions)
        : timeStep { timeStep }
    {
        for (const auto& [key, value] : initialRows())
            this->memory.transact({ .conditions = {}, .writes = { { .key = key, .value = value } } },
                [](const auto&, const store::Error&) {});
        for (int i = 0; i < 2; ++i)
            this->holders.push_back(std::make_unique<Holder>(*this, i, leaseOptions, operationsOptions));
        for (int i = 0; i < 2; ++i) {
            this->operators.push_back(std::make_unique<RollOperator>(*this, 2 + i, operationsOptions));
            auto& rollOperator = *this->operators.back();
            rollOperator.operations.roll(
                i == 0 ? firstVersion : secondVersion, [&rollOperator](const auto& record, const Error& error) {
                    rollOperator.ended = true;
                    rollOperator.won = record.has_value();
                    rollOperator.error = error.code;
                });
        }
    }

    void apply(const Choice& choice)
    {
        if (choice.kind == Choice::Kind::Time) {
            ++this->timeSteps;
            this->histories[0] += "|";
            this->histories[1] += "|";
            this->scheduler.runFor(this->timeStep);
        } else if (choice.kind == Choice::Kind::Operation) {
            auto& tables = this->tablesOf(choice.actor);
            auto operation = std::move(tables.pending.front());
            tables.pending.pop_front();
            this->faults += choice.outcome == OperationOutcome::Respond ? 0 : 1;
            operation(choice.outcome);
        } else {
            this->pauses += choice.kind == Choice::Kind::Pause ? 1 : 0;
            this->paused = choice.kind == Choice::Kind::Pause;
            this->histories[0] += this->paused ? "paused;" : "resumed;";
        }
        this->runConfirmers();
    }

    /** Sets the violation if the current state breaks an invariant. */
    void check()
    {
        if (this->holders[0]->lease.held() && this->holders[1]->lease.held())
            this->violation = "two processes hold the lease";
        this->checkOperators();
        this->checkStates();
    }

    [[nodiscard]] std::vector<Choice> choices(const Limits& limits)
    {
        std::vector<Choice> result;
        for (const auto actor : limits.actors) {
            if (this->tablesOf(actor).pending.empty() || (actor == 0 && this->paused))
                continue;
            result.push_back({ Choice::Kind::Operation, actor, OperationOutcome::Respond });
            if (this->faults < limits.faults) {
                result.push_back({ Choice::Kind::Operation, actor, OperationOutcome::LoseResponse });
                result.push_back({ Choice::Kind::Operation, actor, OperationOutcome::LoseRequest });
            }
        }
        if (this->timeSteps < limits.timeSteps)
            result.push_back({ Choice::Kind::Time, 0, OperationOutcome::Respond });
        if (this->paused)
            result.push_back({ Choice::Kind::Resume, 0, OperationOutcome::Respond });
        else if (this->pauses < limits.pauses && this->holders[0]->lease.held())
            result.push_back({ Choice::Kind::Pause, 0, OperationOutcome::Respond });
        return result;
    }

    /** The actors are deterministic, so their input histories and the contents of the store identify the state. */
    [[nodiscard]] std::string stateKey() const
    {
        std::string text = std::to_string(this->faults) + "," + std::to_string(this->pauses);
        for (const auto& history : this->histories)
            text += "#" + history;
        for (const auto& key :
            { headKey(), versionKey(baseVersion), versionKey(firstVersion), versionKey(secondVersion),
                store::RowKey { .table = std::string { lease::leaseTable }, .key = "rollout" } })
            text += "#" + this->memory.row(key).value;
        return text;
    }

    std::string violation;

private:
    struct Holder {
        Holder(Simulation& simulation, int id, lease::LeaseOptions options, OperationsOptions operationsOptions)
            : tables { simulation.memory, simulation.histories[static_cast<std::size_t>(id)] }
            , random { static_cast<std::uint64_t>(id) + 1 }
            , operations { this->tables, simulation.objects, this->random, sample::trustedKeys(), "holder",
                operationsOptions }
            , lease { "rollout", "holder-" + std::to_string(id), this->tables, simulation.scheduler, simulation.clock,
                this->random,
                [&simulation](
                    lease::LeaseEvent event, base::FencingNumber number) { simulation.onLease(event, number); },
                options }
            , confirmer { this->operations, this->lease }
        {
            this->lease.start();
        }

        ControlledTableService tables;
        base::SeededRandom random;
        Operations operations;
        lease::Lease lease;
        RolloutConfirmer confirmer;
    };

    struct RollOperator {
        RollOperator(Simulation& simulation, int id, OperationsOptions options)
            : tables { simulation.memory, simulation.histories[static_cast<std::size_t>(id)] }
            , random { static_cast<std::uint64_t>(id) + 1 }
            , operations { this->tables, simulation.objects, this->random, sample::trustedKeys(),
                "operator-" + std::to_string(id), options }
        {
        }

        ControlledTableService tables;
        base::SeededRandom random;
        Operations operations;
        bool ended = false;
        bool won = false;
        ErrorCode error = ErrorCode::None;
    };

    std::chrono::seconds timeStep;
    base::ManualClock clock;
    support::FakeScheduler scheduler { this->clock };
    store::MemoryTableService memory;
    store::MemoryObjectStore objects;
    std::array<std::string, actorCount> histories;
    std::vector<std::unique_ptr<Holder>> holders;
    std::vector<std::unique_ptr<RollOperator>> operators;
    int faults = 0;
    int timeSteps = 0;
    int pauses = 0;
    bool paused = false;
    std::uint64_t versionRowVersion = store::absentVersion;
    base::FencingNumber largestNumber {};
    base::BundleVersion largestVersion {};
    std::uint64_t headRowVersion = store::absentVersion;
    base::BundleVersion headVersion {};

    ControlledTableService& tablesOf(int actor)
    {
        const auto index = static_cast<std::size_t>(actor);
        return actor < 2 ? this->holders[index]->tables : this->operators[index - 2]->tables;
    }

    void onLease(lease::LeaseEvent event, base::FencingNumber number)
    {
        if (event != lease::LeaseEvent::Acquired)
            return;
        if (number <= this->largestNumber)
            this->violation = "a fencing number did not grow";
        this->largestNumber = number;
    }

    /** Version that rolled last according to the store; decoded again only if the row has changed. */
    [[nodiscard]] base::BundleVersion versionInForce()
    {
        const auto row = this->memory.row(headKey());
        if (std::exchange(this->headRowVersion, row.version) != row.version)
            this->headVersion = decodeHead(row.value)->rolled->version;
        return this->headVersion;
    }

    /** Lets the holders confirm the version in force; a paused holder does nothing. */
    void runConfirmers()
    {
        const auto version = this->versionInForce();
        if (version < this->largestVersion)
            this->violation = "the version in force went back";
        this->largestVersion = version;
        this->checkConfirmation(version);
        for (std::size_t i = 0; i < this->holders.size(); ++i) {
            if (i != 0 || !this->paused)
                this->holders[i]->confirmer.update(version, {});
        }
    }

    /** A version may be confirmed only under the fencing number that the lease row has at that moment. */
    void checkConfirmation(base::BundleVersion version)
    {
        const auto row = this->memory.row(versionKey(version));
        if (std::exchange(this->versionRowVersion, row.version) == row.version)
            return;
        const auto record = *decodeVersion(row.value);
        const auto lease
            = this->memory.row({ .table = std::string { lease::leaseTable }, .key = std::string { rolloutLease } });
        if (record.state == State::InForce && lease::decode(lease.value)->fencing != record.fencing)
            this->violation = "a former holder of the lease confirmed the version";
    }

    void checkOperators()
    {
        if (this->operators[0]->won && this->operators[1]->won)
            this->violation = "two operators rolled over the same version";
        const auto version = this->versionInForce();
        for (std::size_t i = 0; i < this->operators.size(); ++i) {
            const bool current = version == (i == 0 ? firstVersion : secondVersion);
            if (this->operators[i]->won && !current)
                this->violation = "a roll was reported that is not in the store";
            if (this->operators[i]->error == ErrorCode::LostRace && (current || version == baseVersion))
                this->violation = "an operator got LostRace although no other operator won";
        }
    }

    void checkStates()
    {
        const auto version = this->versionInForce();
        const auto record = *decodeVersion(this->memory.row(versionKey(version)).value);
        if (record.state != State::Rolling && record.state != State::InForce)
            this->violation = "the version in force is " + std::string { toString(record.state) };
        for (const auto other : { baseVersion, firstVersion, secondVersion }) {
            const auto state = decodeVersion(this->memory.row(versionKey(other)).value)->state;
            if (other != version && (state == State::Rolling || state == State::InForce))
                this->violation = "two versions are rolling or in force";
        }
    }
};

/** Result of an exploration. */
struct ExplorationResult {
    std::size_t states = 0;
    std::size_t schedules = 0;
    std::string violation;
};

/** Visits every reachable state within the limits. Each path is replayed from the start and then extended. */
ExplorationResult explore(
    const Limits& limits, lease::LeaseOptions leaseOptions = {}, OperationsOptions operationsOptions = {})
{
    ExplorationResult result;
    std::unordered_set<std::uint64_t> visited;
    std::vector<std::vector<Choice>> stack { {} };
    while (!stack.empty() && result.violation.empty()) {
        auto path = std::move(stack.back());
        stack.pop_back();
        Simulation simulation { limits.timeStep, leaseOptions, operationsOptions };
        for (const auto& choice : path)
            simulation.apply(choice);
        ++result.schedules;
        while (visited.insert(base::hash64(simulation.stateKey())).second) {
            simulation.check();
            result.violation = simulation.violation;
            const auto choices = simulation.choices(limits);
            if (choices.empty() || !result.violation.empty())
                break;
            for (std::size_t i = 1; i < choices.size(); ++i) {
                stack.push_back(path);
                stack.back().push_back(choices[i]);
            }
            path.push_back(choices.front());
            simulation.apply(path.back());
        }
    }
    result.states = visited.size();
    return result;
}

// Two lease holders and a pause. One time step of 12 s exceeds the holder's term, two exceed the lease duration.
const Limits pauseLimits { .actors = { 0, 1 }, .faults = 0, .timeStep = 12s, .timeSteps = 2, .pauses = 1 };
// Two lease holders and a lost request or answer instead of the pause.
const Limits lossLimits { .actors = { 0, 1 }, .faults = 1, .timeStep = 12s, .timeSteps = 2 };
// Two operators and one lease holder that confirms.
const Limits rollLimits { .actors = { 0, 2, 3 }, .faults = 1 };

void expectNoViolation(const Limits& limits)
{
    const auto result = explore(limits);
    std::cout << result.states << " states, " << result.schedules << " schedules" << std::endl;
    EXPECT_EQ(result.violation, "");
    EXPECT_GT(result.states, 1'000U);
}

} // namespace

// Guards against two lease holders at once, a repeated fencing number and a late confirmation by a paused holder.
// Covers every order of store operations and time steps, with a pause or with a lost request or answer.
TEST(ExplorationTest, EveryScheduleOfAPausedLeaseHolderKeepsTheInvariants) { expectNoViolation(pauseLimits); }
TEST(ExplorationTest, EveryScheduleOfTwoLeaseHoldersKeepsTheInvariants) { expectNoViolation(lossLimits); }

// Guards against two successful rolls over one version, a version in force that decreases and a wrong result for an
// operator.
TEST(ExplorationTest, EveryScheduleOfTwoOperatorsKeepsTheInvariants) { expectNoViolation(rollLimits); }

// Shows that the exploration finds a violation if one of the safety mechanisms is disabled.
TEST(ExplorationTest, EachMechanismIsNeeded)
{
    EXPECT_EQ(explore(pauseLimits, { .stopByClock = false }).violation, "two processes hold the lease");
    EXPECT_EQ(explore(pauseLimits, { .waitFullDuration = false }).violation, "two processes hold the lease");
    EXPECT_EQ(explore(pauseLimits, { .incrementFencing = false }).violation, "a fencing number did not grow");
    EXPECT_EQ(explore(pauseLimits, {}, { .checkLease = false }).violation,
        "a former holder of the lease confirmed the version");
    EXPECT_NE(explore(rollLimits, {}, { .compareBase = false }).violation, "");
}

} // namespace chivewinch::bundle
