#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "membership/event.hpp"
#include "membership/options.hpp"
#include "membership/target_machine.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivewinch::membership {

/** State of one target in a TargetTable. */
struct TargetView {
    base::TargetId target;
    base::ZoneId zone;
    std::string address;
    base::Incarnation incarnation {};
    TargetState state = TargetState::Joining;
    bool held = false; ///< Gets no new work because the platform's list shows it as leaving.

    auto operator<=>(const TargetView&) const = default;
};

/**
 * Liveness of targets, or of peer entries, as seen by this process. Not thread-safe.
 * Call advance once per Options::advanceInterval.
 */
class TargetTable {
public:
    explicit TargetTable(Options options = {}) noexcept
        : options { options }
    {
    }

    /** Updates the target that the event concerns; a stale event does not change the target. */
    ApplyResult apply(const Event& event, base::SteadyTime now);

    /** Marks targets that have been silent for too long as suspect or gone; removes those that are long gone. */
    void advance(base::SteadyTime now);

    /** Targets of a zone that may get new work: the live ones or, if there are none, the suspect ones. */
    [[nodiscard]] std::vector<TargetView> usable(std::string_view zone) const;

    /** All known targets, ordered by identifier. */
    [[nodiscard]] std::vector<TargetView> snapshot() const;

    /** Changes whenever the snapshot changes. */
    [[nodiscard]] std::uint64_t version() const noexcept { return this->changes; }

    /** Number of targets in the state; O(size). */
    [[nodiscard]] std::size_t count(TargetState state) const noexcept;

    /**
     * True while more than half of the targets are silent. The table treats this as a local fault and marks only
     * leaving targets as gone.
     */
    [[nodiscard]] bool massSuspicion() const noexcept { return this->suppressed; }

    /** Number of events so far with the given result, for metrics. */
    [[nodiscard]] std::uint64_t applied(ApplyResult result) const noexcept
    {
        return this->results[static_cast<std::size_t>(result)];
    }

private:
    struct Record {
        internal::TargetMachine machine;
        base::ZoneId zone;
        std::string address;
        base::Incarnation incarnation {};
        std::uint64_t sequence = 0;
        base::SteadyTime lastSeenAlive {}; ///< Latest time at which the target is known to have run.
        base::SteadyTime lastContact {}; ///< Like lastSeenAlive, but moved forward by each pause of this process.
        base::SteadyTime lastChange {};
        base::SteadyTime firstSeen {};
        bool held = false;
    };

    using Handler = ApplyResult (TargetTable::*)(Record&, const Event&, base::SteadyTime);

    Options options;
    std::unordered_map<base::TargetId, Record> records;
    std::array<std::uint64_t, static_cast<std::size_t>(ApplyResult::Count)> results {};
    base::SteadyTime lastCall {};
    std::uint64_t changes = 0;
    bool suppressed = false;

    static const std::array<Handler, static_cast<std::size_t>(EventKind::Count)> handlers;

    ApplyResult applyHello(Record& record, const Event& event, base::SteadyTime now);
    ApplyResult applyHeartbeat(Record& record, const Event& event, base::SteadyTime now);
    ApplyResult applyAnswer(Record& record, const Event& event, base::SteadyTime now);
    ApplyResult applyLeave(Record& record, const Event& event, base::SteadyTime now);
    ApplyResult applyListedLive(Record& record, const Event& event, base::SteadyTime now);
    ApplyResult applyListedLeaving(Record& record, const Event& event, base::SteadyTime now);

    [[nodiscard]] ApplyResult dispatch(const Event& event, base::SteadyTime now);
    [[nodiscard]] bool isStale(const Record& record, const Event& event) const noexcept;
    static void recordLiveness(Record& record, base::SteadyTime at) noexcept;
    void adoptIncarnation(Record& record, base::Incarnation incarnation, base::SteadyTime now);
    void updateAddress(Record& record, const Event& event);
    template <typename MachineEvent> void process(Record& record, const MachineEvent& event, base::SteadyTime now);
    void excludePause(base::SteadyTime now);
    void updateSuppression(base::SteadyTime now);
    void advanceRecord(Record& record, base::SteadyTime now);
    [[nodiscard]] bool isSilent(const Record& record, base::SteadyTime now) const noexcept;
};

/** Entries track each other by the same rules as targets. */
using PeerTable = TargetTable;

} // namespace chivewinch::membership
