#pragma once

#include "base/clock.hpp"
#include "base/reason.hpp"
#include "delivery/attempt_record.hpp"
#include "delivery/message.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

namespace chivewinch::delivery {

/** Settings of a Gate; each switch disables one mechanism, for tests of that mechanism. */
struct GateOptions {
    std::uint32_t maxConcurrent = 256;
    std::chrono::nanoseconds maxLifetime { std::chrono::seconds { 30 } };
    /** At least maxLifetime. If longer, a copy that arrives after its lifetime still gets the state of the first. */
    std::chrono::nanoseconds retention { std::chrono::seconds { 60 } };
    /** Attempts whose issue time is more than this ahead of the clock of this process are refused. */
    std::chrono::nanoseconds maxClockSkew { std::chrono::seconds { 10 } };
    std::size_t maxRecords = 200'000;
    bool checkIncarnation = true;
    bool checkSeen = true;
    bool recordRefusals = true;
    bool recordEarlyCancels = true;
    bool refuseUncovered = true;

    bool operator==(const GateOptions&) const = default;
};

/** Answer of the gate to an attempt. */
struct Admission {
    bool admitted = false;
    base::RefusalReason reason = base::RefusalReason::None;
    /** Proves that no copy of the attempt has run or will run. */
    bool notRun = false;
    base::SteadyTime deadline; ///< Time at which the attempt is abandoned; set only if admitted.

    bool operator==(const Admission&) const = default;
};

enum class CancelResult : std::uint8_t {
    NotRun, ///< No copy of the attempt has run, and the record ensures that none will.
    Running, ///< The agent has to stop the run on its target; the outcome is not known yet.
    Finished, ///< The run ended before the cancellation arrived.
    Unknown, ///< The attempt is of another incarnation, or its issue time is too old or too far ahead to be recorded.
};

struct GateLoad {
    std::uint32_t inFlight = 0;
    std::uint32_t capacity = 0;
    std::size_t records = 0;
    std::size_t recordBytes = 0;
    bool draining = false;

    bool operator==(const GateLoad&) const = default;
};

/** Decides, at an agent, which attempts run on its target. Each attempt runs at most once. */
class Gate {
public:
    /** Returns the reason to refuse an attempt with a suspect fingerprint, or None. */
    using SuspectCheck = std::function<base::RefusalReason(const AttemptStart&)>;

    Gate(const base::Clock& clock, base::Incarnation incarnation, GateOptions options = {}, SuspectCheck check = {});

    [[nodiscard]] Admission admit(const AttemptStart& start);
    /** Ends an admitted attempt. NotRun states that the target received no byte of it. */
    void finish(const base::AttemptId& attempt, base::Outcome outcome);
    [[nodiscard]] CancelResult cancel(const CancelRequest& request);
    /** Refuses all later attempts; running attempts continue. */
    void drain() noexcept { this->draining = true; }
    [[nodiscard]] bool idle() const noexcept { return this->running.empty(); }
    [[nodiscard]] GateLoad load() const noexcept;
    [[nodiscard]] base::Incarnation incarnation() const noexcept { return this->ownIncarnation; }
    /** Refusals with the given reason so far. */
    [[nodiscard]] std::uint64_t count(base::RefusalReason reason) const noexcept;

private:
    [[nodiscard]] base::WallTime currentWallTime() const noexcept;
    [[nodiscard]] bool recordable(base::WallTime issued, base::WallTime now) const noexcept;
    [[nodiscard]] std::optional<Admission> refuseSeen(const AttemptStart& start) const;
    [[nodiscard]] base::RefusalReason refusalReason(const AttemptStart& start, base::WallTime now) const;
    [[nodiscard]] Admission refuseUnrecorded(base::RefusalReason reason) noexcept;
    [[nodiscard]] Admission refuseRecorded(const AttemptStart& start, base::RefusalReason reason);

    const base::Clock& clock;
    base::Incarnation ownIncarnation;
    GateOptions options;
    SuspectCheck suspectCheck;
    base::SteadyTime startSteadyTime;
    base::WallTime startWallTime;
    AttemptRecord record;
    std::unordered_map<base::AttemptId, base::WallTime> running;
    std::array<std::uint64_t, static_cast<std::size_t>(base::RefusalReason::Count)> counts {};
    bool draining = false;
};

} // namespace chivewinch::delivery
