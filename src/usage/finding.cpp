#include "usage/finding.hpp"

#include <array>

namespace chivewinch::usage {

bool isDefect(FindingKind kind) noexcept { return kind != FindingKind::OpenEnd; }

std::string_view toString(FindingKind kind) noexcept
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(FindingKind::Count)> names { "malformed",
        "bad_signature", "wrong_name", "fork", "broken_link", "missing_segment", "missing_chain", "open_end",
        "possible_loss", "double_count", "mismatch", "missing_on_entry", "missing_on_agent", "summary_mismatch" };
    const auto index = static_cast<std::size_t>(kind);
    return index < names.size() ? names[index] : std::string_view { "invalid" };
}

std::string toString(const FindingPlace& place)
{
    return place.record ? place.segment + '#' + std::to_string(*place.record) : place.segment;
}

std::string toString(const Finding& finding)
{
    std::string text { toString(finding.kind) };
    text += ' ' + toString(finding.place);
    if (!finding.other.segment.empty())
        text += ' ' + toString(finding.other);
    if (!finding.detail.empty())
        text += ": " + finding.detail;
    return text;
}

} // namespace chivewinch::usage
