#include "usage/record_buffer.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <limits>

namespace chivewinch::usage::internal {

namespace {

constexpr auto unassigned = std::numeric_limits<std::uint32_t>::max();

/** Maps used dictionary indexes to consecutive indexes from 0, in the order of first use; add runs once per index. */
template <typename Add> class Remap {
public:
    Remap(std::size_t size, Add add)
        : add { std::move(add) }
        , indexes(size, unassigned)
    {
    }

    std::uint32_t operator()(std::uint32_t index)
    {
        auto& mapped = this->indexes[index];
        if (mapped == unassigned) {
            mapped = this->used++;
            this->add(index);
        }
        return mapped;
    }

private:
    Add add;
    std::vector<std::uint32_t> indexes;
    std::uint32_t used = 0;
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

std::uint64_t NameTraits::hash(const View& view) noexcept { return base::hash64(view); }

std::uint64_t SubjectNamesTraits::hash(const View& view) noexcept
{
    const auto ownerAndModel = (std::uint64_t { view.owner } << 32) | view.model;
    return base::combineHash(ownerAndModel, view.team);
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
    Dictionary<NameTraits> names;
    Remap subjectIndex { this->subjects.size(), [&](std::uint32_t index) {
                            const auto& subject = this->subjects.at(index);
                            segment.subjects.push_back({ .owner = names.indexOf(subject.owner),
                                .team = names.indexOf(subject.team),
                                .model = names.indexOf(subject.model) });
                        } };
    Remap peerIndex { this->peers.size(),
        [&](std::uint32_t index) { segment.peers.push_back(this->peers.at(index)); } };
    segment.records.assign(this->records.begin(), this->records.begin() + static_cast<std::ptrdiff_t>(count));
    for (auto& record : segment.records) {
        record.subject = subjectIndex(record.subject);
        record.peer = peerIndex(record.peer);
    }
    segment.names = names.release();
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
