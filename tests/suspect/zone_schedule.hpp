#pragma once

#include "base/random.hpp"
#include "support/fake_scheduler.hpp"
#include "suspect/entry_guard.hpp"
#include "suspect/target_guard.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chivewinch::suspect {

struct ZoneOptions {
    std::uint64_t seed = 0;
    std::size_t crashing = 1; ///< Fingerprints that crash every target that runs them.
    std::size_t harmless = 4;
    bool propagate = true; ///< Off: the processes of the zone send each other no strikes and crash reports.
    double lost = 0.2; ///< Share of strike lists that are lost.
    std::chrono::milliseconds maxDelay { 20 }; ///< Largest delay of any message.
    bool avoidCrashed = false; ///< Entries do not use a target for 3 s after its agent's crash report.
    bool agentKeepsStrikes = true; ///< Off: the agent crashes together with its target and loses its strikes.
    EntryGuardOptions entry;
    TargetGuardOptions target;
};

struct ZoneResult {
    std::size_t entries = 0;
    std::size_t maxCrashes = 0; ///< Largest number of crashes caused by one fingerprint.
    std::size_t harmlessCompleted = 0;
    std::size_t harmlessNotNormal = 0; ///< Harmless fingerprints without Verdict::Normal at some entry at the end.
    std::size_t isolationViolations
        = 0; ///< Starts of a fingerprint with a strike while another one runs on the target.
    std::size_t crashingBlocked = 0; ///< Crashing fingerprints that every entry blocks when the callers stop.
};

/** Simulates the entries and targets of one zone. Callers send each fingerprint to all entries at once, repeatedly. */
class ZoneSchedule {
public:
    explicit ZoneSchedule(const ZoneOptions& options);

    [[nodiscard]] ZoneResult run();

private:
    struct Entry {
        std::shared_ptr<StrikeTable> table;
        std::unique_ptr<EntryGuard> guard;
        std::set<std::string> down;
    };

    struct Attempt {
        std::size_t entry = 0;
        std::size_t caller = 0;
        std::uint64_t fingerprint = 0;

        bool operator==(const Attempt&) const = default;
    };

    struct Target {
        std::shared_ptr<StrikeTable> table;
        std::unique_ptr<TargetGuard> guard;
        std::uint64_t incarnation = 1;
        bool up = true;
        std::vector<Attempt> inFlight;
    };

    void startAgent(std::size_t index);
    void resend(const Attempt& attempt, int left);
    void arrive(std::size_t target, const Attempt& attempt, int left);
    void complete(std::size_t target, const Attempt& attempt, int left, std::uint64_t incarnation);
    void crash(std::size_t target, std::uint64_t cause, std::uint64_t incarnation);
    void reportCrash(std::size_t target);
    void heartbeat();
    void send(const StrikeList& list, const std::shared_ptr<StrikeTable>& receiver);
    void retry(const Attempt& attempt, int left);
    [[nodiscard]] bool crashesTargets(std::uint64_t fingerprint) const { return fingerprint <= this->options.crashing; }
    [[nodiscard]] std::chrono::nanoseconds delay();

    ZoneOptions options;
    base::SeededRandom random;
    base::ManualClock clock;
    support::FakeScheduler scheduler { this->clock };
    std::vector<base::TargetId> names;
    std::vector<Entry> entries;
    std::vector<Target> targets;
    std::map<std::uint64_t, std::size_t> lost;
    ZoneResult result;
    bool stopped = false;
};

} // namespace chivewinch::suspect
