#pragma once

#include "base/random.hpp"
#include "claim/claim_manager.hpp"
#include "claim/delayed_table_service.hpp"
#include "store/memory_store.hpp"
#include "support/fake_scheduler.hpp"
#include "support/faulty_store.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::claim {

struct ScheduleOptions {
    std::uint64_t seed = 0;
    double faults = 1; ///< Factor of all fault rates.
    double crash = 0.3; ///< Probability that an entry crashes.
    ClaimOptions claim { .maxRowAnswerBytes = 16 };
};

/** Violations in one schedule. All are 0 if the claim library is correct. */
struct Violations {
    std::uint64_t repeatedRuns = 0; ///< Runs of a key after its first run.
    std::uint64_t runAfterRefusal = 0; ///< Requests that ran although their answer was not Granted.
    std::uint64_t wrongRepeats = 0; ///< Repeats whose outcome or answer differs from that of the first request.
    std::uint64_t conflictsMissed = 0; ///< Requests that got the outcome of a different body.
    std::uint64_t falseConflicts = 0;
    std::uint64_t answerErrors = 0; ///< Requests without an answer at their deadline, or with two.
    std::uint64_t lostOutcomes = 0; ///< Settlements that were rejected, or that a later repeat does not get.
    std::uint64_t stuckKeys = 0; ///< Keys that stay claimed although no process crashed while it could hold the claim.
    std::uint64_t leaks = 0; ///< Keys and bytes that a process still holds at the end.

    [[nodiscard]] std::uint64_t total() const noexcept
    {
        return this->repeatedRuns + this->runAfterRefusal + this->wrongRepeats + this->conflictsMissed
            + this->falseConflicts + this->answerErrors + this->lostOutcomes + this->stuckKeys + this->leaks;
    }

    Violations& operator+=(const Violations& other) noexcept;
};

/** Counts of the cases that the schedules reached. */
struct Coverage {
    std::uint64_t granted = 0;
    std::uint64_t repeats = 0;
    std::uint64_t inProgress = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unavailable = 0;
    std::uint64_t released = 0;
    std::uint64_t ambiguous = 0;

    Coverage& operator+=(const Coverage& other) noexcept;
};

/** Several entries that claim the same few keys in one store. Each has its own faulty connection to the store. */
class ClaimSchedule {
public:
    explicit ClaimSchedule(const ScheduleOptions& options);
    ~ClaimSchedule();

    void run();

    Violations violations;
    Coverage coverage;

private:
    struct Entry {
        std::unique_ptr<support::FaultyTableService> tables;
        std::unique_ptr<support::FaultyObjectStore> objects;
        std::unique_ptr<ClaimManager> manager;
        std::uint64_t incarnation = 1; ///< Incremented by each crash.
    };

    struct Request {
        std::size_t key = 0;
        std::size_t entry = 0;
        std::uint64_t incarnation = 0;
        std::string body;
        std::optional<ClaimResult> result;
        std::uint64_t answers = 0;
    };

    struct Key {
        std::string firstBody;
        std::uint64_t runs = 0;
        std::string answer;
        bool done = false; ///< A run was settled as done.
        bool unknown = false; ///< A run was settled as unknown.
        bool durable = false; ///< A settlement as done or unknown is confirmed as stored.
        bool orphaned = false; ///< A process crashed while it could hold the claim.
        std::vector<std::string> bodies;
    };

    void connect(std::size_t entry);
    void scheduleFaults(std::size_t entry);
    void crash(std::size_t entry);
    void request(std::size_t key, std::size_t entry, std::string body);
    void answered(const std::shared_ptr<Request>& request, const ClaimResult& result);
    void dispatch(const std::shared_ptr<Request>& request, std::uint64_t nonce);
    void settle(const std::shared_ptr<Request>& request, std::uint64_t nonce, Settlement settlement);
    void checkRepeat(const Request& request, const Repeat& repeat);
    void checkEnd();
    [[nodiscard]] ClaimKey keyOf(std::size_t key) const;
    [[nodiscard]] bool chance(double probability) { return this->random.unit() < probability; }
    [[nodiscard]] std::chrono::milliseconds randomDelay(std::uint64_t limit)
    {
        return std::chrono::milliseconds { this->random.below(limit) };
    }

    ScheduleOptions options;
    base::SeededRandom random;
    base::ManualClock clock;
    support::FakeScheduler scheduler { this->clock };
    store::MemoryTableService memory;
    store::MemoryObjectStore memoryObjects;
    DelayedTableService delayedTables { this->memory, this->scheduler, this->random };
    std::vector<Entry> entries;
    std::vector<Key> keys;
    std::vector<std::shared_ptr<Request>> requests;
};

} // namespace chivewinch::claim
