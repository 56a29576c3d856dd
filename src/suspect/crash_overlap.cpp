#include "suspect/crash_overlap.hpp"

#include "suspect/feature.hpp"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace chivewinch::suspect {

namespace internal {

// Processes notice a crash at different moments, and its age is rounded in messages.
constexpr std::chrono::milliseconds sameCrashTime { 1'000 };

bool isSameCrash(const StrikeReport& left, const StrikeReport& right)
{
    const auto identity
        = [](const StrikeReport& report) { return std::tie(report.strike.target, report.strike.incarnation); };
    return identity(left) == identity(right) && std::chrono::abs(left.age - right.age) < sameCrashTime;
}

/** Strikes that count, one for each crash. */
StrikeList countingStrikes(const StrikeTable& table, std::uint64_t feature)
{
    StrikeList counting;
    for (auto& report : table.reportsOf(feature)) {
        const auto isKnown = [&report](const auto& known) { return isSameCrash(known, report); };
        if (!report.cleared && std::ranges::none_of(counting, isKnown))
            counting.push_back(std::move(report));
    }
    return counting;
}

} // namespace internal

CrashOverlap::CrashOverlap(const StrikeTable& table, std::uint64_t feature, const IsPreferred& isPreferred)
{
    struct Crash {
        StrikeReport report;
        bool isExplained = false;
        bool isShared = false;
    };
    std::vector<Crash> crashes;
    for (auto& report : internal::countingStrikes(table, feature))
        crashes.push_back({ .report = std::move(report) });
    for (const auto other : table.blockedFingerprints()) {
        // Requests that share the feature are no other cause.
        if (other == feature || (isWholeRequest(other) && !isWholeRequest(feature)))
            continue;
        const auto strikes = internal::countingStrikes(table, other);
        const bool isBetter = strikes.size() > crashes.size() || (isPreferred && isPreferred(other));
        for (auto& crash : crashes) {
            const auto isSame = [&crash](const auto& strike) { return internal::isSameCrash(crash.report, strike); };
            if (std::ranges::none_of(strikes, isSame))
                continue;
            crash.isShared = true;
            crash.isExplained = crash.isExplained || isBetter;
        }
    }
    this->unexplainedCount = static_cast<std::size_t>(std::ranges::count(crashes, false, &Crash::isExplained));
    this->unsharedCount = static_cast<std::size_t>(std::ranges::count(crashes, false, &Crash::isShared));
}

} // namespace chivewinch::suspect
