#include "delivery/attempt_record.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

namespace chivewinch::delivery {

namespace internal {

constexpr std::size_t initialSlots = 16;
constexpr std::size_t bucketsPerRetention = 32;
/** 2^64 divided by the golden ratio (Fibonacci hashing); spreads request ids whose low bits are equal. */
constexpr std::uint64_t hashMultiplier = 0x9E3779B97F4A7C15ULL;

std::size_t RecordBucket::slotOf(const base::AttemptId& attempt) const noexcept
{
    const auto hash = std::hash<base::AttemptId> {}(attempt)*hashMultiplier;
    // Scales the hash to the table size by a multiplication: the table grows by half, so a bit mask does not work.
    auto index = static_cast<std::size_t>((static_cast<__uint128_t>(hash) * this->slots.size()) >> 64);
    while (this->slots[index].state != RecordState::Free) {
        const auto& slot = this->slots[index];
        if (slot.request == attempt.request && slot.number == attempt.number)
            break;
        index = index + 1 == this->slots.size() ? 0 : index + 1;
    }
    return index;
}

std::optional<RecordState> RecordBucket::find(const base::AttemptId& attempt) const noexcept
{
    if (this->slots.empty())
        return std::nullopt;
    const auto state = this->slots[this->slotOf(attempt)].state;
    return state == RecordState::Free ? std::nullopt : std::optional { state };
}

bool RecordBucket::set(const base::AttemptId& attempt, RecordState state)
{
    if ((this->used + 1) * 8 > this->slots.size() * 7)
        this->grow();
    auto& slot = this->slots[this->slotOf(attempt)];
    const bool isNew = slot.state == RecordState::Free;
    slot = { .request = attempt.request, .number = attempt.number, .state = state };
    this->used += isNew ? 1 : 0;
    return isNew;
}

void RecordBucket::grow()
{
    auto old = std::exchange(this->slots, std::vector<Slot>(std::max(initialSlots, this->slots.size() * 3 / 2)));
    for (const auto& slot : old)
        if (slot.state != RecordState::Free)
            this->slots[this->slotOf({ .request = slot.request, .number = slot.number })] = slot;
}

std::size_t RecordBucket::memoryBytes() const noexcept { return this->slots.capacity() * sizeof(Slot); }

} // namespace internal

AttemptRecord::AttemptRecord(std::chrono::nanoseconds retention, std::size_t maxRecords) noexcept
    : retention { retention }
    , bucketWidth { std::max<std::chrono::nanoseconds>(
          retention / internal::bucketsPerRetention, std::chrono::milliseconds { 1 }) }
    , maxRecords { std::max<std::size_t>(maxRecords, 1) }
    , floor { std::numeric_limits<BucketIndex>::min() }
{
}

AttemptRecord::BucketIndex AttemptRecord::bucketOf(base::WallTime issued) const noexcept
{
    const auto time = std::chrono::duration_cast<std::chrono::nanoseconds>(issued.time_since_epoch()).count();
    const auto step = this->bucketWidth.count();
    return time >= 0 ? time / step : -((-time + step - 1) / step);
}

void AttemptRecord::raiseFloor(BucketIndex index)
{
    this->floor = std::max(this->floor, index);
    while (!this->buckets.empty() && this->buckets.begin()->first <= this->floor) {
        this->records -= this->buckets.begin()->second.size();
        this->buckets.erase(this->buckets.begin());
    }
}

void AttemptRecord::advance(base::WallTime now)
{
    const auto oldest = now - std::chrono::duration_cast<base::WallTime::duration>(this->retention);
    this->raiseFloor(this->bucketOf(oldest) - 1);
}

void AttemptRecord::makeRoom()
{
    while (this->records >= this->maxRecords)
        this->raiseFloor(this->buckets.begin()->first);
}

bool AttemptRecord::covers(base::WallTime issued) const noexcept { return this->bucketOf(issued) > this->floor; }

std::optional<RecordState> AttemptRecord::find(const base::AttemptId& attempt, base::WallTime issued) const
{
    const auto bucket = this->buckets.find(this->bucketOf(issued));
    return bucket == this->buckets.end() ? std::nullopt : bucket->second.find(attempt);
}

void AttemptRecord::set(const base::AttemptId& attempt, base::WallTime issued, RecordState state)
{
    if (this->covers(issued))
        this->records += this->buckets[this->bucketOf(issued)].set(attempt, state) ? 1 : 0;
}

std::size_t AttemptRecord::memoryBytes() const noexcept
{
    std::size_t bytes = sizeof(*this);
    for (const auto& [index, bucket] : this->buckets)
        bytes += sizeof(index) + sizeof(bucket) + bucket.memoryBytes();
    return bytes;
}

} // namespace chivewinch::delivery
