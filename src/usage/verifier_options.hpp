#pragma once

#include "usage/record.hpp"

#include <chrono>
#include <optional>

namespace chivewinch::usage {

/** Half-open period of wall time. */
struct Period {
    WallMillis from;
    WallMillis until;

    auto operator<=>(const Period&) const = default;
};

struct VerifierOptions {
    /** Counts and judges only requests issued in this period; chains may then start at any number. */
    std::optional<Period> window;
    /** Chains must reach this time; the default is the latest time that any segment covers. */
    std::optional<WallMillis> horizon;
    /** Largest difference between the wall clocks of two processes. */
    std::chrono::milliseconds clockSkew { 2000 };
    /** Longest time from the issue of an attempt to the last byte of its answer. */
    std::chrono::milliseconds maxRequestLifetime { std::chrono::minutes { 10 } };
    /** LedgerOptions::maxBacklogAge of the writers. */
    std::chrono::milliseconds maxBacklogAge { std::chrono::hours { 2 } };

    // The switches below turn one mechanism off, for tests.
    bool checkSignatures = true;
    bool checkLinks = true;
    bool dropDuplicates = true;
    bool completeFromAgent = true;
    bool compareSides = true;
    bool reportPossibleLoss = true;
};

} // namespace chivewinch::usage
