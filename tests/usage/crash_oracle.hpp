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

/** Everything the oracle knows about one request. Each request has a team of its own. */
struct Request {
    std::string team;
    base::RequestId id;
    std::optional<Result> answer; ///< What the caller was told; nullopt when the entry died first.
    base::AttemptId lastAttempt;
    Counts billed;
    std::uint64_t ranGenerated = 0;
    bool completedByAgent = false;
    ProcessId entry;
    ProcessId agent;
};

/** Sees every answer and every crash, and compares them with what the verifier reports. */
class CrashOracle {
public:
    std::vector<Request> requests;
    std::set<ProcessId> crashed;
    std::map<ProcessId, Period> lives;

    void judge(const Report& report, ScheduleResult& result);

private:
    std::set<std::pair<ProcessId, ProcessId>> losses; ///< Reported pairs of entry and agent.

    std::set<ProcessId> stored; ///< Lives that left a segment.

    [[nodiscard]] std::vector<ProcessId> crashedNamedBy(const Finding& finding) const;
    [[nodiscard]] std::optional<ProcessId> crashedNamedBy(const FindingPlace& place) const;
    /** Whether the place is a closed life before a restart that no process outlived, so that nobody could tell. */
    [[nodiscard]] bool isUnwitnessedRestart(const FindingPlace& place) const;
    void judge(const Finding& finding, ScheduleResult& result);
    void compare(const Request& request, const Totals& totals, ScheduleResult& result) const;
};

} // namespace chivewinch::usage::test
