#include "expert/activation.hpp"

#include <array>

namespace chivewinch::expert {

namespace internal {

constexpr std::array<std::string_view, static_cast<std::size_t>(ProposalStatus::Count)> proposalNames {
    "preparing",
    "in_force",
    "stale_fencing",
    "stale_version",
    "busy",
    "not_running",
    "timed_out",
    "load_failed",
    "rank_restarted",
    "superseded",
};

} // namespace internal

std::string_view toString(ProposalStatus status) noexcept
{
    const auto index = static_cast<std::size_t>(status);
    return index < internal::proposalNames.size() ? internal::proposalNames[index] : std::string_view { "invalid" };
}

} // namespace chivewinch::expert
