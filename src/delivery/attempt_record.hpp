#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace chivewinch::delivery {

/** State of an attempt that the gate has seen. */
enum class RecordState : std::uint8_t {
    Free, ///< Unused slot; never returned.
    Running,
    Done,
    Unknown,
    NotRun, ///< Refused, or admitted and proved not to have reached the target.
    Cancelled, ///< Cancelled before it arrived.
};

namespace internal {

/** Open-addressing hash table of the attempts of one interval of issue times. */
class RecordBucket {
public:
    [[nodiscard]] std::optional<RecordState> find(const base::AttemptId& attempt) const noexcept;
    /** Inserts or replaces the state; returns true if the attempt was not present. */
    bool set(const base::AttemptId& attempt, RecordState state);
    [[nodiscard]] std::size_t size() const noexcept { return this->used; }
    [[nodiscard]] std::size_t memoryBytes() const noexcept;

private:
    struct Slot {
        base::RequestId request;
        std::uint32_t number = 0;
        RecordState state = RecordState::Free;
    };

    [[nodiscard]] std::size_t slotOf(const base::AttemptId& attempt) const noexcept;
    void grow();

    std::vector<Slot> slots;
    std::size_t used = 0;
};

} // namespace internal

/**
 * Record of the attempts that a gate has seen, in buckets by issue time. It contains every seen attempt that was issued
 * after the floor; the gate refuses older attempts without a look-up. The floor only rises: with time, or when the
 * record is full.
 */
class AttemptRecord {
public:
    AttemptRecord(std::chrono::nanoseconds retention, std::size_t maxRecords) noexcept;

    /** Removes the attempts that were issued longer ago than the retention. */
    void advance(base::WallTime now);
    /** Raises the floor, oldest bucket first, until there is room for one more record. */
    void makeRoom();
    /** Whether the record contains every seen attempt with this issue time. */
    [[nodiscard]] bool covers(base::WallTime issued) const noexcept;
    [[nodiscard]] std::optional<RecordState> find(const base::AttemptId& attempt, base::WallTime issued) const;
    /** Has no effect on attempts that the record no longer covers. */
    void set(const base::AttemptId& attempt, base::WallTime issued, RecordState state);

    [[nodiscard]] std::size_t size() const noexcept { return this->records; }
    [[nodiscard]] std::size_t memoryBytes() const noexcept;

private:
    using BucketIndex = std::int64_t;

    [[nodiscard]] BucketIndex bucketOf(base::WallTime issued) const noexcept;
    void raiseFloor(BucketIndex index);

    std::chrono::nanoseconds retention;
    std::chrono::nanoseconds bucketWidth;
    std::size_t maxRecords;
    std::map<BucketIndex, internal::RecordBucket> buckets;
    BucketIndex floor; ///< Newest bucket that is no longer kept.
    std::size_t records = 0;
};

} // namespace chivewinch::delivery
