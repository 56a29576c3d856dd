#pragma once

#include "usage/join.hpp"

#include <optional>
#include <vector>

namespace chivewinch::usage::internal {

/** Records of one attempt from both sides. */
struct AttemptPair {
    const JoinItem* entry = nullptr;
    const JoinItem* agent = nullptr;

    /** The record that states what ran: the agent's where it exists. */
    [[nodiscard]] const JoinItem& ran() const noexcept { return this->agent != nullptr ? *this->agent : *this->entry; }
};

/** How a request counts. */
struct RequestVerdict {
    Result result = Result::Refused;
    const JoinItem* final = nullptr; ///< Decides subject, hour and billed work.
    bool fromAgent = false;
};

/**
 * The counting rule. Attempts are in the order of their numbers.
 *
 * The entry's records outrank the agent's; the agent's complete them where the entry recorded nothing.
 */
[[nodiscard]] RequestVerdict judge(const std::vector<AttemptPair>& attempts, bool completeFromAgent) noexcept;

/** What the request adds to the totals of its subject and hour. */
[[nodiscard]] Totals totalsOf(const std::vector<AttemptPair>& attempts, const RequestVerdict& verdict) noexcept;

/** Why the two records of an attempt cannot both be true; nullptr when they can. */
[[nodiscard]] const char* difference(const AttemptPair& attempt) noexcept;

} // namespace chivewinch::usage::internal
