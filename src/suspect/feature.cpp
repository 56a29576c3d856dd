#include "suspect/feature.hpp"

#include "base/hash.hpp"

#include <charconv>

namespace chivewinch::suspect {

namespace internal {

// Tells whole requests from parts; see isWholeRequest.
constexpr std::uint64_t requestBit = 1;

// Separates parts from other hashed texts.
constexpr std::uint64_t partSeed = 1;

/** Different spellings of a number are the same part. */
std::uint64_t hashId(std::string_view id) noexcept
{
    std::uint64_t number = 0;
    const auto* end = id.data() + id.size();
    const auto [stop, error] = std::from_chars(id.data(), end, number, 16);
    if (error == std::errc {} && stop == end)
        return base::combineHash(partSeed, number);
    return base::hash64(id, partSeed);
}

} // namespace internal

Feature partFeature(std::string_view team, std::string_view id) noexcept
{
    const auto hash = internal::hashId(id);
    const auto ofTeam = base::combineHash(base::hash64(team, internal::partSeed), hash);
    return { .inTeam = ofTeam & ~internal::requestBit, .inAllTeams = hash & ~internal::requestBit };
}

Feature requestFeature(std::uint64_t fingerprint) noexcept { return { .inTeam = fingerprint | internal::requestBit }; }

} // namespace chivewinch::suspect
