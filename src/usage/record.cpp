#include "usage/record.hpp"

#include <array>
#include <cstdio>

namespace chivewinch::usage {

RecordView viewOf(const Record& record) noexcept
{
    return { .kind = record.kind,
        .result = record.result,
        .id = record.id,
        .owner = record.owner,
        .team = record.team,
        .model = record.model,
        .peerInstance = record.peerInstance,
        .peerIncarnation = record.peerIncarnation,
        .issued = record.issued,
        .finished = record.finished,
        .counts = record.counts };
}

std::string_view toString(Side side) noexcept
{
    switch (side) {
    case Side::Entry:
        return "entry";
    case Side::Agent:
        return "agent";
    }
    return "invalid";
}

std::string_view toString(Result result) noexcept
{
    constexpr std::array<std::string_view, 6> names { "invalid", "done", "broken", "cancelled", "refused", "unknown" };
    const auto index = static_cast<std::size_t>(result);
    return index < names.size() ? names[index] : names[0];
}

std::string toString(const ProcessId& process)
{
    std::array<char, 17> digits {};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(process.incarnation));
    return process.instance + '/' + digits.data();
}

std::string hourText(WallMillis time)
{
    const auto day = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date { day };
    const auto hour = std::chrono::floor<std::chrono::hours>(time - day).count();
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%04d-%02u-%02uT%02d", static_cast<int>(date.year()),
        static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()), static_cast<int>(hour));
    return text.data();
}

} // namespace chivewinch::usage
