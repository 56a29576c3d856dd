#pragma once

#include "usage/segment.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chivewinch::usage::internal {

struct SubjectView {
    std::string_view owner;
    std::string_view team;
    std::string_view model;
};

struct PeerView {
    std::string_view instance;
    base::Incarnation incarnation {};
};

struct SubjectTraits {
    using Value = Subject;
    using View = SubjectView;
    static std::uint64_t hash(const View& view) noexcept;
    static bool equal(const Value& value, const View& view) noexcept;
    static Value make(const View& view);
};

struct PeerTraits {
    using Value = ProcessId;
    using View = PeerView;
    static std::uint64_t hash(const View& view) noexcept;
    static bool equal(const Value& value, const View& view) noexcept;
    static Value make(const View& view);
};

struct NameTraits {
    using Value = std::string;
    using View = std::string_view;
    static std::uint64_t hash(const View& view) noexcept;
    static bool equal(const Value& value, const View& view) noexcept { return value == view; }
    static Value make(const View& view) { return std::string { view }; }
};

struct SubjectNamesTraits {
    using Value = SubjectNames;
    using View = SubjectNames;
    static std::uint64_t hash(const View& view) noexcept;
    static bool equal(const Value& value, const View& view) noexcept { return value == view; }
    static Value make(const View& view) { return view; }
};

/** Assigns consecutive indexes from 0 to distinct values, in the order of their first use. */
template <typename Traits> class Dictionary {
public:
    std::uint32_t indexOf(const typename Traits::View& view)
    {
        if (2 * this->values.size() >= this->slots.size())
            this->grow();
        const auto hash = Traits::hash(view);
        const auto tag = hash & tagMask;
        auto slot = this->firstSlot(hash);
        while (this->slots[slot] != 0) {
            const auto index = static_cast<std::uint32_t>(this->slots[slot]) - 1;
            if ((this->slots[slot] & tagMask) == tag && Traits::equal(this->values[index], view))
                return index;
            slot = (slot + 1) & (this->slots.size() - 1);
        }
        this->values.push_back(Traits::make(view));
        this->hashes.push_back(hash);
        this->slots[slot] = tag | this->values.size();
        return static_cast<std::uint32_t>(this->values.size() - 1);
    }

    [[nodiscard]] const typename Traits::Value& at(std::uint32_t index) const { return this->values[index]; }
    [[nodiscard]] std::size_t size() const noexcept { return this->values.size(); }

    void clear()
    {
        this->values.clear();
        this->hashes.clear();
        std::fill(this->slots.begin(), this->slots.end(), 0U);
    }

    [[nodiscard]] std::vector<typename Traits::Value> release()
    {
        auto result = std::move(this->values);
        this->values = {};
        this->clear();
        return result;
    }

private:
    static constexpr std::size_t minSlots = 16;
    static constexpr std::uint64_t tagMask = 0xFFFFFFFF00000000U;

    std::vector<typename Traits::Value> values;
    std::vector<std::uint64_t> hashes;
    // Hash table with open addressing and without deletion. A slot holds the upper half of the hash and the index plus
    // 1, or 0 if it is free. The partial hash in the slot avoids a cache miss for each comparison with another value.
    std::vector<std::uint64_t> slots;

    [[nodiscard]] std::size_t firstSlot(std::uint64_t hash) const noexcept { return hash & (this->slots.size() - 1); }

    void grow()
    {
        this->slots.assign(std::max(minSlots, 2 * this->slots.size()), 0U);
        for (std::size_t i = 0; i < this->hashes.size(); ++i) {
            auto slot = this->firstSlot(this->hashes[i]);
            while (this->slots[slot] != 0)
                slot = (slot + 1) & (this->slots.size() - 1);
            this->slots[slot] = (this->hashes[i] & tagMask) | (i + 1);
        }
    }
};

/**
 * Memory estimate per dictionary value, in bytes: the vector element, the hash, up to four slots and the heap memory of
 * strings that exceed the small-string buffer.
 */
inline constexpr std::size_t dictionaryBytesPerValue = 240;
/** Memory estimate in bytes of a record that adds both a new subject and a new peer. */
inline constexpr std::size_t maxBytesPerRecord = sizeof(PackedRecord) + 2 * dictionaryBytesPerValue;

/** Queue of counted records that are not yet part of a segment. */
class RecordBuffer {
public:
    void add(const RecordView& record);

    /** Moves up to limit of the oldest records into the segment. The lists of the segment must be empty. */
    void take(std::size_t limit, Segment& segment);

    [[nodiscard]] std::size_t size() const noexcept { return this->records.size(); }
    [[nodiscard]] bool empty() const noexcept { return this->records.empty(); }
    /** Approximate memory in use, in bytes. */
    [[nodiscard]] std::size_t bytes() const noexcept;

private:
    std::deque<PackedRecord> records;
    Dictionary<SubjectTraits> subjects;
    Dictionary<PeerTraits> peers;
};

} // namespace chivewinch::usage::internal
