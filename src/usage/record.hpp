#pragma once

#include "base/id.hpp"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace chivewinch::usage {

/** Wall time in whole milliseconds, the resolution of stored records. */
using WallMillis = std::chrono::sys_time<std::chrono::milliseconds>;

/** Role of the process that counted. The numeric values are stored. */
enum class Side : std::uint8_t {
    Entry = 1,
    Agent = 2,
};

/** The numeric values are stored. */
enum class RecordKind : std::uint8_t {
    Attempt = 1, ///< One attempt to run a request.
    Charge = 2, ///< Rebalancing cost attributed to an owner. The planner chooses the record's identifier.
};

/** How an attempt ended, as observed by the process that counted it. The numeric values are stored. */
enum class Result : std::uint8_t {
    Done = 1, ///< Entry: the complete answer goes to the caller. Agent: the final frame goes to the entry.
    Broken = 2, ///< No complete answer; the entry may start another attempt.
    Cancelled = 3, ///< The caller disconnected or cancelled the request.
    Refused = 4, ///< Not run.
    Unknown = 5, ///< The entry reported to the caller that the outcome is unknown.
};

/** Identity of one incarnation of a process. */
struct ProcessId {
    std::string instance;
    base::Incarnation incarnation {};

    auto operator<=>(const ProcessId&) const = default;
};

/** Resource usage of one attempt. */
struct Counts {
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0; ///< Prompt tokens served from the prefix cache.
    std::uint32_t generatedTokens = 0; ///< Tokens that this attempt generated.
    std::uint32_t resumedTokens = 0; ///< Tokens that earlier attempts had delivered when this one started.
    std::uint32_t serviceCalls = 0;
    std::uint32_t spillOvers = 0; ///< 1 when the attempt was sent to another availability zone.
    std::uint64_t rebalancingCost = 0; ///< Cost units; charges only.

    auto operator<=>(const Counts&) const = default;
};

/** Usage that one process counted for one attempt or charge. Text is std::string or std::string_view. */
template <typename Text> struct BasicRecord {
    RecordKind kind = RecordKind::Attempt;
    Result result = Result::Done;
    base::AttemptId id; ///< Attempt number 0: a request that ended before its first attempt, or a charge.
    Text owner;
    Text team;
    Text model; ///< Model name, or the service name if the request has no model.
    Text peerInstance; ///< Instance of the other side; empty when no attempt was sent.
    base::Incarnation peerIncarnation {};
    WallMillis issued; ///< Time at which the entry issued the attempt; both sides record the same value.
    WallMillis finished;
    Counts counts;

    auto operator<=>(const BasicRecord&) const = default;
};

using Record = BasicRecord<std::string>;
using RecordView = BasicRecord<std::string_view>;

[[nodiscard]] RecordView viewOf(const Record& record) noexcept;

/** Rounds down to whole milliseconds, the resolution of records. */
[[nodiscard]] inline WallMillis toMillis(std::chrono::system_clock::time_point time) noexcept
{
    return std::chrono::floor<std::chrono::milliseconds>(time);
}

/** Start of the hour that contains the time. */
[[nodiscard]] inline WallMillis hourOf(WallMillis time) noexcept
{
    return std::chrono::floor<std::chrono::hours>(time);
}

[[nodiscard]] std::string_view toString(Side side) noexcept;
[[nodiscard]] std::string_view toString(Result result) noexcept;
/** "instance/0123456789abcdef". */
[[nodiscard]] std::string toString(const ProcessId& process);
/** UTC hour, e.g. "2026-12-04T03". */
[[nodiscard]] std::string hourText(WallMillis time);

} // namespace chivewinch::usage
