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

/** Brings the records of both sides together by request and applies the counting rule. */
class Joiner {
public:
    Joiner(const VerifierOptions& options, const ChainSet& chains) noexcept;

    Dictionary<NameTraits> names;
    Dictionary<SubjectNamesTraits> subjects;
    Dictionary<PeerTraits> processes;

    /** Adds all records of a segment. Indexes of segments start at 0 and grow by 1. */
    void add(const Segment& segment, std::uint32_t index);

    /** Judges and counts all requests; call it once, after the chains were checked. */
    void settle(std::vector<Finding>& findings, Split& split);

private:
    static constexpr std::size_t partitionBits = 7;

    const VerifierOptions& options;
    const ChainSet& chains;
    // Partitions keep the working set of the join within the processor's cache.
    std::array<std::vector<JoinItem>, std::size_t { 1 } << partitionBits> partitions;
    std::vector<Counts> rareCounts; ///< Counts of the items whose values do not fit in JoinItem.
    std::vector<std::uint32_t> segmentProcesses;
    std::map<WallMillis, std::vector<Totals>> totals; ///< By hour, then by subject.
    std::pair<WallMillis, std::vector<Totals>*> latestHour { {}, nullptr };

    // Working memory of one partition and one request, kept to avoid allocations.
    std::vector<std::uint32_t> heads;
    std::vector<std::uint32_t> next;
    std::vector<std::uint32_t> firsts;
    std::vector<const JoinItem*> group;
    std::vector<AttemptPair> attempts;

    void settlePartition(std::vector<JoinItem>& items, std::vector<Finding>& findings);
    void linkRequests(const std::vector<JoinItem>& items);
    void orderGroup();
    void settleRequest(std::vector<Finding>& findings);
    void collectAttempts(std::vector<Finding>& findings);
    void compare(const RequestVerdict& verdict, std::vector<Finding>& findings) const;
    void compareSingle(const AttemptPair& attempt, std::vector<Finding>& findings) const;
    void settleCharge(std::vector<Finding>& findings);
    [[nodiscard]] Counts countsOf(const JoinItem& item) const;
    [[nodiscard]] AttemptSide sideOf(const JoinItem& item) const;
    [[nodiscard]] FindingPlace placeOf(const JoinItem& item) const;
    [[nodiscard]] Subject subjectAt(std::uint32_t index) const;
    [[nodiscard]] bool inWindow(WallMillis issued) const noexcept;
    [[nodiscard]] Totals& totalsFor(const JoinItem& item);
};

} // namespace chivewinch::usage::internal
