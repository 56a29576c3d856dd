#pragma once

#include "usage/segment.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
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

/** Numbers distinct values from 0 in the order of their first use. */
template <typename Traits> class Dictionary {
public:
    std::uint32_t indexOf(const typename Traits::View& view)
    {
        const auto hash = Traits::hash(view);
        const auto [first, last] = this->indexes.equal_range(hash);
        for (auto it = first; it != last; ++it) {
            if (Traits::equal(this->values[it->second], view))
                return it->second;
        }
        const auto index = static_cast<std::uint32_t>(this->values.size());
        this->values.push_back(Traits::make(view));
        this->indexes.emplace(hash, index);
        return index;
    }

    [[nodiscard]] const typename Traits::Value& at(std::uint32_t index) const { return this->values[index]; }
    [[nodiscard]] std::size_t size() const noexcept { return this->values.size(); }

    void clear()
    {
        this->values.clear();
        this->indexes.clear();
    }

private:
    std::vector<typename Traits::Value> values;
    std::unordered_multimap<std::uint64_t, std::uint32_t> indexes;
};

/** Records that are not yet part of a segment, in the order in which they were counted. */
class RecordBuffer {
public:
    void add(const RecordView& record);

    /** Moves the oldest records, at most limit, into the segment, whose lists must be empty. */
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
