#pragma once

#include "usage/crash_schedule.hpp"
#include "usage/record.hpp"
#include "usage/verifier.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chivewinch::usage::test {

/** Expected results of one request. Each request uses a separate team, so that its totals can be told apart. */
struct Request {
    std::string team;
    base::RequestId id;
    std::optional<Result> answer; ///< Result that the caller received; nullopt if the entry crashed first.
    base::AttemptId lastAttempt;
    Counts billed;
    std::uint64_t ranGenerated = 0;
    bool completedByAgent = false;
    ProcessId entry;
    ProcessId agent;
};

/** Holds every answer and every crash of a schedule, and compares them with the verifier's report. */
class CrashOracle {
public:
    std::vector<Request> requests;
    std::set<ProcessId> crashed;
    std::map<ProcessId, Period> lifetimes;

    void check(const Report& report, ScheduleResult& result);

private:
    std::set<std::pair<ProcessId, ProcessId>> losses; ///< Reported pairs of entry and agent.

    std::set<ProcessId> stored; ///< Incarnations with a stored segment.

    [[nodiscard]] std::vector<ProcessId> crashedNamedBy(const Finding& finding) const;
    [[nodiscard]] std::optional<ProcessId> crashedNamedBy(const FindingPlace& place) const;
    /**
     * Whether the place is a cleanly closed incarnation, and no surviving process ran throughout the gap until the next
     * incarnation of the instance. The verifier then cannot rule out that an unknown incarnation ran in the gap.
     */
    [[nodiscard]] bool isUnwitnessedRestart(const FindingPlace& place) const;
    void check(const Finding& finding, ScheduleResult& result);
    void compare(const Request& request, const Totals& totals, ScheduleResult& result) const;
};

} // namespace chivewinch::usage::test
