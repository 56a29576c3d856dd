#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace chivewinch::suspect {

/** Something that requests have in common and that can be the cause of crashes. */
struct Feature {
    std::uint64_t inTeam = 0; ///< Identifies the feature in the requests of one team.
    std::uint64_t inAllTeams = 0; ///< The same for all teams; 0 if teams cannot share the feature.

    auto operator<=>(const Feature&) const = default;
};

/** A part of a prompt. @param id Hexadecimal digits; other texts are hashed. */
[[nodiscard]] Feature partFeature(std::string_view team, std::string_view id) noexcept;

/** The whole request. */
[[nodiscard]] Feature requestFeature(std::uint64_t fingerprint) noexcept;

/** True for the identity of a whole request, which contains the other features of its runs. */
[[nodiscard]] constexpr bool isWholeRequest(std::uint64_t identity) noexcept { return (identity & 1U) != 0; }

} // namespace chivewinch::suspect
