#pragma once

#include "usage/record.hpp"
#include "usage/segment.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string_view>

namespace chivewinch::usage {

/**
 * Integer amounts by which the bill is split. Fields that start with "unbilled" count executed work whose result
 * reached no caller. The other fields for tokens and service calls count what callers received.
 */
struct Totals {
    std::uint64_t requests = 0; ///< Complete answers.
    std::uint64_t cancelled = 0;
    std::uint64_t unknown = 0;
    std::uint64_t refused = 0;
    std::uint64_t completedFromAgent = 0; ///< Subset of requests whose answer only the agent's record confirms.
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t generatedTokens = 0;
    std::uint64_t serviceCalls = 0;
    std::uint64_t spillOvers = 0;
    std::uint64_t rebalancingCost = 0;
    std::uint64_t unbilledPromptTokens = 0;
    std::uint64_t unbilledGeneratedTokens = 0;
    std::uint64_t unbilledServiceCalls = 0;

    auto operator<=>(const Totals&) const = default;
    Totals& operator+=(const Totals& other) noexcept;
};

struct TotalsField {
    std::string_view name;
    std::uint64_t Totals::*member;
};

/** All fields, in the order in which they are printed and stored. */
inline constexpr std::array<TotalsField, 14> totalsFields { {
    { "requests", &Totals::requests },
    { "cancelled", &Totals::cancelled },
    { "unknown", &Totals::unknown },
    { "refused", &Totals::refused },
    { "completed_from_agent", &Totals::completedFromAgent },
    { "prompt_tokens", &Totals::promptTokens },
    { "cached_tokens", &Totals::cachedTokens },
    { "generated_tokens", &Totals::generatedTokens },
    { "service_calls", &Totals::serviceCalls },
    { "spill_overs", &Totals::spillOvers },
    { "rebalancing_cost", &Totals::rebalancingCost },
    { "unbilled_prompt_tokens", &Totals::unbilledPromptTokens },
    { "unbilled_generated_tokens", &Totals::unbilledGeneratedTokens },
    { "unbilled_service_calls", &Totals::unbilledServiceCalls },
} };

/** Key of one line of the split. */
struct TotalsKey {
    WallMillis hour;
    Subject subject;

    auto operator<=>(const TotalsKey&) const = default;
};

using Split = std::map<TotalsKey, Totals>;

} // namespace chivewinch::usage
