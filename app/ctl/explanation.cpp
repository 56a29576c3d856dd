#include "ctl/explanation.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace chivewinch::ctl {

namespace internal {

// Events that the gateway and the entry log at the end of a request.
constexpr std::array<std::string_view, 2> endEvents { "request", "request_ended" };
// Events that the gateway and the entry log at the end of an attempt.
constexpr std::array<std::string_view, 2> failedAttemptEvents { "attempt_failed", "attempt_ended" };
// Reasons for which a failed attempt decides the outcome. For any other reason the end of the request is the deciding
// line.
constexpr std::array<std::string_view, 3> attemptFailureReasons { "attempt_failed", "retry_budget", "target_down" };
// Events about the state of a target. They name the request whose answer showed it, but concern all requests.
constexpr std::array<std::string_view, 4> targetStateEvents { "target_leaves", "target_closed", "target_limit",
    "target_limit_invalid" };
constexpr std::string_view completedOutcome = "done";

bool contains(const auto& list, std::string_view text) { return std::ranges::find(list, text) != list.end(); }

bool isFailedAttempt(const logging::Line& line)
{
    return contains(failedAttemptEvents, line.field("event")) && line.field("outcome") != completedOutcome;
}

/** Returns the newest line of each kind of state event of the instances up to the given time. */
std::vector<logging::Line> newestStateLines(const std::vector<logging::Line>& all, std::string_view request,
    const std::vector<std::string_view>& instances, std::string_view time)
{
    std::map<std::pair<std::string_view, std::string>, const logging::Line*> newest;
    for (const auto& line : all) {
        const auto instance = line.field("instance");
        const bool isState = line.field("request").empty()
            || (line.field("request") != request && contains(targetStateEvents, line.field("event")));
        if (!isState || line.field("time") > time || !contains(instances, instance))
            continue;
        // Each table, group and target has its own state, so the newest line is kept for each of them.
        const auto kind = std::string { line.field("event") } + ' ' + std::string { line.field("table") } + ' '
            + std::string { line.field("group") } + ' ' + std::string { line.field("target") };
        auto& newestLine = newest[{ instance, kind }];
        if (newestLine == nullptr || newestLine->field("time") <= line.field("time"))
            newestLine = &line;
    }
    std::vector<logging::Line> lines;
    lines.reserve(newest.size());
    for (const auto& [key, line] : newest)
        lines.push_back(*line);
    return lines;
}

bool isEarlier(const logging::Line& left, const logging::Line& right)
{
    return left.field("time") < right.field("time");
}

std::optional<std::size_t> decidingLine(const std::vector<logging::Line>& lines, std::string_view request)
{
    const auto belongsToRequest = [&](const logging::Line& line) { return line.field("request") == request; };
    const auto end = std::ranges::find_if(
        lines, [&](const auto& line) { return belongsToRequest(line) && contains(endEvents, line.field("event")); });
    if (end != lines.end() && end->field("outcome") == completedOutcome)
        return std::nullopt;
    if (end == lines.end() || contains(attemptFailureReasons, end->field("reason"))) {
        // An attempt that may have run takes precedence over one that did not run.
        auto attempt = std::ranges::find_if(lines, [&](const auto& line) {
            return belongsToRequest(line) && isFailedAttempt(line) && line.field("not_run") == "false";
        });
        if (attempt == lines.end())
            attempt = std::ranges::find_if(
                lines, [&](const auto& line) { return belongsToRequest(line) && isFailedAttempt(line); });
        if (attempt != lines.end())
            return static_cast<std::size_t>(attempt - lines.begin());
    }
    if (end == lines.end())
        return std::nullopt;
    return static_cast<std::size_t>(end - lines.begin());
}

} // namespace internal

std::optional<Explanation> explain(std::string_view request, const std::vector<logging::Line>& all)
{
    Explanation result;
    std::vector<std::string_view> instances;
    std::string_view last;
    for (const auto& line : all) {
        if (line.field("request") != request)
            continue;
        result.lines.push_back(line);
        instances.push_back(line.field("instance"));
        last = std::max(last, line.field("time"));
        if (internal::contains(internal::endEvents, line.field("event")))
            result.outcome = line.field("outcome");
    }
    if (result.lines.empty())
        return std::nullopt;
    for (auto& line : internal::newestStateLines(all, request, instances, last))
        result.lines.push_back(std::move(line));
    std::ranges::stable_sort(result.lines, internal::isEarlier);
    result.deciding = internal::decidingLine(result.lines, request);
    return result;
}

} // namespace chivewinch::ctl
