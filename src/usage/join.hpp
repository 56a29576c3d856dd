#pragma once

#include "usage/chain_set.hpp"
#include "usage/record_buffer.hpp"
#include "usage/totals.hpp"

#include <array>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace chivewinch::usage::internal {

/** Record with indexes that are valid over all segments. */
struct JoinItem {
    PackedRecord record; ///< subject and peer are indexes into the joiner's dictionaries.
    std::uint32_t segment = 0;
    std::uint32_t index = 0;
    std::uint32_t process = 0;
    Side side = Side::Entry;
};

struct AttemptPair;
struct RequestVerdict;

/** Brings the records of both sides together by request and applies the counting rule. */
class Joiner {
public:
    Joiner(const VerifierOptions& options, const ChainSet& chains) noexcept;

    Dictionary<NameTraits> names;
    Dictionary<SubjectNamesTraits> subjects;
    Dictionary<PeerTraits> processes;

    void add(const JoinItem& item);

    /** Judges and counts all requests; call it once, after the chains were checked. */
    void settle(std::vector<Finding>& findings, Split& split);

private:
    static constexpr std::size_t partitionCount = 256;

    const VerifierOptions& options;
    const ChainSet& chains;
    // Partitions keep the working set of the join within the processor's cache.
    std::array<std::vector<JoinItem>, partitionCount> partitions;
    std::unordered_map<std::uint64_t, Totals> totals;

    void settlePartition(std::vector<JoinItem>& items, std::vector<Finding>& findings);
    void settleRequest(std::span<const JoinItem> items, std::vector<Finding>& findings);
    void compare(
        const std::vector<AttemptPair>& attempts, const RequestVerdict& verdict, std::vector<Finding>& findings) const;
    void compareSingle(const AttemptPair& attempt, std::vector<Finding>& findings) const;
    void settleCharge(std::span<const JoinItem> items, std::vector<Finding>& findings);
    [[nodiscard]] Subject subjectAt(std::uint32_t index) const;
    [[nodiscard]] bool inWindow(WallMillis issued) const noexcept;
    [[nodiscard]] Totals& totalsFor(const PackedRecord& record);
};

} // namespace chivewinch::usage::internal
