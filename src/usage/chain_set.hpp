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

/** Data of a segment that the chain check uses. */
struct SegmentInfo {
    std::string name;
    SegmentHeader header;
    Digest digest {};
    Signature signature {};
    Digest link {};
    bool valid = false; ///< Authenticated and not discarded as a fork; only records of valid segments are counted.
};

/** Period in which a process may have counted work that is not in any stored segment. */
struct UncoveredPeriod {
    ProcessId process;
    Side side = Side::Entry;
    Period period;
    std::string lastSegment; ///< Object name, or process identity if it has no stored segment.
};

/** Start time of a process. An incarnation number is the start time in nanoseconds since the Unix epoch. */
[[nodiscard]] WallMillis startOf(base::Incarnation incarnation) noexcept;

/** All added segments, grouped into one chain per process incarnation. */
class ChainSet {
public:
    ChainSet(const VerifierOptions& options, const KeyList& keys) noexcept;

    /** Returns the index of the segment. */
    std::uint32_t add(SegmentInfo segment);

    /** Records that another object refers to a process incarnation; returns false if the time is outside the window. */
    bool addReference(const ProcessId& process, Side side, WallMillis time, const std::string& source);

    /** Checks all chains. Call it once, after the last call of add() and addReference(). */
    void check(std::vector<Finding>& findings);

    [[nodiscard]] const SegmentInfo& segment(std::uint32_t index) const { return this->segments[index]; }
    [[nodiscard]] std::size_t size() const noexcept { return this->segments.size(); }

    /** Whether a record that the process counted between the two times may be missing from its stored segments. */
    [[nodiscard]] bool mayHaveLost(const ProcessId& process, WallMillis from, WallMillis until) const;

    [[nodiscard]] const std::vector<UncoveredPeriod>& uncovered() const noexcept { return this->uncoveredPeriods; }
    [[nodiscard]] std::vector<ChainHead> heads() const;
    /** Whether the chain contains this segment, at its end or earlier. */
    [[nodiscard]] bool contains(const ChainHead& head) const;

private:
    struct Chain {
        std::vector<std::uint32_t> segments; ///< After check(): the valid segments in ascending order of their numbers.
        std::vector<Period> lost;
        bool closes = false;
        WallMillis coversFrom;
        WallMillis coversUntil;
    };
    struct ProcessReference {
        Side side = Side::Entry;
        WallMillis time;
        std::string source;
    };

    const VerifierOptions& options;
    const KeyList& keys;
    std::vector<SegmentInfo> segments;
    std::map<ProcessId, Chain> chains;
    std::map<ProcessId, ProcessReference> references;
    std::vector<UncoveredPeriod> uncoveredPeriods;

    void removeForks(Chain& chain, std::vector<Finding>& findings) const;
    void authenticate(Chain& chain, std::vector<Finding>& findings);
    void checkOrder(const ProcessId& process, Chain& chain, std::vector<Finding>& findings);
    void checkPair(const SegmentInfo& before, const SegmentInfo& after, std::vector<Finding>& findings) const;
    void checkIncarnations(std::vector<Finding>& findings);
    void checkRestart(const std::pair<const ProcessId, Chain>& closed, WallMillis next);
    void checkReferences(std::vector<Finding>& findings);
    void checkOpenEnds(std::vector<Finding>& findings);
    void addUncovered(const ProcessId& process, Side side, Period period, const std::string& lastSegment);
    [[nodiscard]] WallMillis horizon() const;
    [[nodiscard]] WallMillis nextIncarnationStart(const ProcessId& process) const;
};

} // namespace chivewinch::usage::internal
