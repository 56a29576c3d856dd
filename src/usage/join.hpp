#pragma once

#include "usage/chain_set.hpp"
#include "usage/record_buffer.hpp"
#include "usage/request_rule.hpp"
#include "usage/totals.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace chivewinch::usage::internal {

/** Joins the records of entries and agents by request and applies the counting rule. */
class Joiner {
public:
    Joiner(const VerifierOptions& options, const ChainSet& chains) noexcept;

    Dictionary<NameTraits> names;
    Dictionary<SubjectNamesTraits> subjects;
    Dictionary<PeerTraits> processes;

    /** Adds all records of a segment. The segment index must be 0 in the first call and increase by 1 per call. */
    void add(const Segment& segment, std::uint32_t index);

    /** Checks and counts all requests. Call it once, after ChainSet::check(). */
    void countRequests(std::vector<Finding>& findings, Split& split);

private:
    static constexpr std::size_t partitionBits = 7;

    const VerifierOptions& options;
    const ChainSet& chains;
    // Partitioning keeps the working set of the join within the CPU cache.
    std::array<std::vector<JoinItem>, std::size_t { 1 } << partitionBits> partitions;
    std::vector<Counts> extendedCounts; ///< Counts of the items with values that JoinItem has no fields for.
    std::vector<std::uint32_t> segmentProcesses;
    std::map<WallMillis, std::vector<Totals>> totals; ///< By hour, then by subject.
    std::pair<WallMillis, std::vector<Totals>*> latestHour { {}, nullptr };

    // Buffers for the current partition and request, reused to avoid allocations.
    std::vector<std::uint32_t> hashSlots;
    std::vector<std::uint32_t> nextInGroup;
    std::vector<std::uint32_t> groupStarts;
    std::vector<const JoinItem*> group;
    std::vector<AttemptPair> attempts;

    void countPartition(std::vector<JoinItem>& items, std::vector<Finding>& findings);
    void groupByRequest(const std::vector<JoinItem>& items);
    void sortGroup();
    void countRequest(std::vector<Finding>& findings);
    void collectAttempts(std::vector<Finding>& findings);
    void compare(const RequestOutcome& outcome, std::vector<Finding>& findings) const;
    void checkMissingSide(const AttemptPair& attempt, std::vector<Finding>& findings) const;
    void countCharge(std::vector<Finding>& findings);
    [[nodiscard]] Counts countsOf(const JoinItem& item) const;
    [[nodiscard]] AttemptSide sideOf(const JoinItem& item) const;
    [[nodiscard]] FindingPlace placeOf(const JoinItem& item) const;
    [[nodiscard]] Subject subjectAt(std::uint32_t index) const;
    [[nodiscard]] bool inWindow(WallMillis issued) const noexcept;
    [[nodiscard]] Totals& totalsFor(const JoinItem& item);
};

} // namespace chivewinch::usage::internal
