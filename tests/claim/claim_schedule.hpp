#pragma once

#include "base/random.hpp"
#include "claim/claim_keeper.hpp"
#include "claim/late_table_service.hpp"
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
    double crash = 0.3; ///< Crashes per entry.
    ClaimOptions claim { .maxRowAnswerBytes = 16 };
};

/** Violations in one schedule; all are 0 if the module is right. */
struct Violations {
    std::uint64_t repeatedRuns = 0; ///< A key that ran more than once.
    std::uint64_t runAfterRefusal = 0; ///< A request that ran although it was answered otherwise than granted.
    std::uint64_t wrongRepeats = 0; ///< A repeat with another outcome or answer than the first request's.
    std::uint64_t conflictsMissed = 0; ///< A request that got the outcome of a different body.
    std::uint64_t falseConflicts = 0;
    std::uint64_t late = 0; ///< Requests without an answer at their deadline, or with two.
    std::uint64_t lostOutcomes = 0; ///< Settled outcomes that a later repeat does not get.
    std::uint64_t stuckKeys = 0; ///< Keys that stay claimed although no process was lost.
    std::uint64_t leaks = 0; ///< Keys or bytes that a process still holds at the end.

    [[nodiscard]] std::uint64_t total() const noexcept
    {
        return this->repeatedRuns + this->runAfterRefusal + this->wrongRepeats + this->conflictsMissed
            + this->falseConflicts + this->late + this->lostOutcomes + this->stuckKeys + this->leaks;
    }

    Violations& operator+=(const Violations& other) noexcept;
};

/** Results that show what the schedules reached. */
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

/** Some entries that claim the same few keys in one store, each over its own faulty connection. */
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
        std::unique_ptr<ClaimKeeper> keeper;
        std::uint64_t life = 1; ///< Grows with each crash.
    };

    struct Request {
        std::size_t key = 0;
        std::size_t entry = 0;
        std::uint64_t life = 0;
        std::string body;
        std::optional<ClaimResult> result;
        std::uint64_t answers = 0;
    };

    struct Key {
        std::string firstBody;
        std::uint64_t runs = 0;
        std::string answer;
        bool done = false; ///< Ran and was settled as done.
        bool unknown = false; ///< Settled as unknown.
        bool durable = false; ///< The store has confirmed the settlement.
        bool orphaned = false; ///< A process was lost while it could hold the claim.
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
    [[nodiscard]] std::chrono::milliseconds upTo(std::uint64_t limit)
    {
        return std::chrono::milliseconds { this->random.below(limit) };
    }

    ScheduleOptions options;
    base::SeededRandom random;
    base::ManualClock clock;
    support::FakeScheduler scheduler { this->clock };
    store::MemoryTableService memory;
    store::MemoryObjectStore memoryObjects;
    LateTableService late { this->memory, this->scheduler, this->random };
    std::vector<Entry> entries;
    std::vector<Key> keys;
    std::vector<std::shared_ptr<Request>> requests;
};

} // namespace chivewinch::claim
