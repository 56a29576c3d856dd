#include "usage/record_buffer.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <limits>

namespace chivewinch::usage::internal {

namespace {

// Vector element, hash node, bucket and the text beyond the small-string size of one dictionary value.
constexpr std::size_t dictionaryBytesPerValue = 224;
constexpr auto unassigned = std::numeric_limits<std::uint32_t>::max();

/** Copies the used values of a dictionary in the order of their first use. */
template <typename Traits> class Remap {
public:
    Remap(const Dictionary<Traits>& from, std::vector<typename Traits::Value>& to)
        : from { from }
        , to { to }
        , indexes(from.size(), unassigned)
    {
    }

    std::uint32_t operator()(std::uint32_t index)
    {
        auto& mapped = this->indexes[index];
        if (mapped == unassigned) {
            mapped = static_cast<std::uint32_t>(this->to.size());
            this->to.push_back(this->from.at(index));
        }
        return mapped;
    }

private:
    const Dictionary<Traits>& from;
    std::vector<typename Traits::Value>& to;
    std::vector<std::uint32_t> indexes;
};

} // namespace

std::uint64_t SubjectTraits::hash(const View& view) noexcept
{
    return base::hash64(view.team, base::hash64(view.model, base::hash64(view.owner)));
}

bool SubjectTraits::equal(const Value& value, const View& view) noexcept
{
    return value.team == view.team && value.model == view.model && value.owner == view.owner;
}

Subject SubjectTraits::make(const View& view)
{
    return {
        .owner = std::string { view.owner }, .team = std::string { view.team }, .model = std::string { view.model }
    };
}

std::uint64_t PeerTraits::hash(const View& view) noexcept
{
    return base::hash64(view.instance, static_cast<std::uint64_t>(view.incarnation));
}

bool PeerTraits::equal(const Value& value, const View& view) noexcept
{
    return value.incarnation == view.incarnation && value.instance == view.instance;
}

ProcessId PeerTraits::make(const View& view)
{
    return { .instance = std::string { view.instance }, .incarnation = view.incarnation };
}

void RecordBuffer::add(const RecordView& record)
{
    const auto subject = this->subjects.indexOf({ .owner = record.owner, .team = record.team, .model = record.model });
    const auto peer = this->peers.indexOf({ .instance = record.peerInstance, .incarnation = record.peerIncarnation });
    this->records.push_back({ .id = record.id,
        .kind = record.kind,
        .result = record.result,
        .subject = subject,
        .peer = peer,
        .issued = record.issued,
        .finished = record.finished,
        .counts = record.counts });
}

void RecordBuffer::take(std::size_t limit, Segment& segment)
{
    const auto count = std::min(limit, this->records.size());
    Remap<SubjectTraits> subjectIndex { this->subjects, segment.subjects };
    Remap<PeerTraits> peerIndex { this->peers, segment.peers };
    segment.records.assign(this->records.begin(), this->records.begin() + static_cast<std::ptrdiff_t>(count));
    for (auto& record : segment.records) {
        record.subject = subjectIndex(record.subject);
        record.peer = peerIndex(record.peer);
    }
    this->records.erase(this->records.begin(), this->records.begin() + static_cast<std::ptrdiff_t>(count));
    if (this->records.empty()) {
        this->subjects.clear();
        this->peers.clear();
    }
}

std::size_t RecordBuffer::bytes() const noexcept
{
    return this->records.size() * sizeof(PackedRecord)
        + (this->subjects.size() + this->peers.size()) * dictionaryBytesPerValue;
}

} // namespace chivewinch::usage::internal
