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
    /** If set, only requests issued in this period are checked and counted, and chains may start at any number. */
    std::optional<Period> window;
    /** Chains without a closing segment must cover this time. The default is the latest time that any chain covers. */
    std::optional<WallMillis> horizon;
    /** Largest difference between the wall clocks of two processes. */
    std::chrono::milliseconds clockSkew { 2000 };
    /** Maximum time from the issue of an attempt to the last byte of its answer. */
    std::chrono::milliseconds maxRequestLifetime { std::chrono::minutes { 10 } };
    /** Value of LedgerOptions::maxBacklogAge in the processes that wrote the segments. */
    std::chrono::milliseconds maxBacklogAge { std::chrono::hours { 2 } };

    // Switches for tests. Each one disables one mechanism if it is false.
    bool checkSignatures = true;
    bool checkLinks = true;
    bool dropDuplicates = true;
    bool completeFromAgent = true;
    bool compareSides = true;
    bool reportPossibleLoss = true;
};

} // namespace chivewinch::usage
