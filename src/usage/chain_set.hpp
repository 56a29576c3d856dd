#pragma once

#include "usage/chain_head.hpp"
#include "usage/finding.hpp"
#include "usage/key.hpp"
#include "usage/segment.hpp"
#include "usage/verifier_options.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chivewinch::usage::internal {

/** What the chain check needs of a segment. */
struct SegmentInfo {
    std::string name;
    SegmentHeader header;
    Digest digest {};
    Signature signature {};
    Digest link {};
    bool valid = false; ///< Authentic and at its only place in the chain; its records count.
};

/** Time in which a process may have counted work that no stored segment holds. */
struct UncoveredPeriod {
    ProcessId process;
    Side side = Side::Entry;
    Period period;
    std::string lastSegment; ///< Object name, or process when it left no segment.
};

/** Start of a process life, which is its incarnation number in nanoseconds. */
[[nodiscard]] WallMillis startOf(base::Incarnation incarnation) noexcept;

/** All segments seen, as chains per process life. */
class ChainSet {
public:
    ChainSet(const VerifierOptions& options, const KeyList& keys) noexcept;

    /** Returns the index of the segment. */
    std::uint32_t add(SegmentInfo segment);

    /** Notes that a process life exists according to another process; false when the time is out of the window. */
    bool mention(const ProcessId& process, Side side, WallMillis when, const std::string& by);

    /** Judges all chains; call it once, after the last add and mention. */
    void check(std::vector<Finding>& findings);

    [[nodiscard]] const SegmentInfo& segment(std::uint32_t index) const { return this->segments[index]; }
    [[nodiscard]] std::size_t size() const noexcept { return this->segments.size(); }

    /** Whether the process may have lost a record that it counted between the two times. */
    [[nodiscard]] bool mayHaveLost(const ProcessId& process, WallMillis from, WallMillis until) const;

    [[nodiscard]] const std::vector<UncoveredPeriod>& uncovered() const noexcept { return this->uncoveredPeriods; }
    [[nodiscard]] std::vector<ChainHead> heads() const;
    /** Whether the chain contains this segment, as its newest or an earlier one. */
    [[nodiscard]] bool contains(const ChainHead& head) const;

private:
    struct Chain {
        std::vector<std::uint32_t> segments; ///< Valid ones in the order of their numbers, after check().
        std::vector<Period> lost;
        bool closes = false;
        WallMillis coversFrom;
        WallMillis coversUntil;
    };
    struct Mention {
        Side side = Side::Entry;
        WallMillis when;
        std::string by;
    };

    const VerifierOptions& options;
    const KeyList& keys;
    std::vector<SegmentInfo> segments;
    std::map<ProcessId, Chain> chains;
    std::map<ProcessId, Mention> mentions;
    std::vector<UncoveredPeriod> uncoveredPeriods;

    void removeForks(Chain& chain, std::vector<Finding>& findings) const;
    void authenticate(Chain& chain, std::vector<Finding>& findings);
    void checkOrder(const ProcessId& process, Chain& chain, std::vector<Finding>& findings);
    void checkPair(const SegmentInfo& before, const SegmentInfo& after, std::vector<Finding>& findings) const;
    void checkLives(std::vector<Finding>& findings);
    void checkRestart(const std::pair<const ProcessId, Chain>& closed, WallMillis next);
    void checkMentions(std::vector<Finding>& findings);
    void checkOpenEnds(std::vector<Finding>& findings);
    void addUncovered(const ProcessId& process, Side side, Period period, const std::string& lastSegment);
    [[nodiscard]] WallMillis horizon() const;
    [[nodiscard]] WallMillis nextLife(const ProcessId& process) const;
};

} // namespace chivewinch::usage::internal
