#pragma once

#include <chrono>

namespace chivewinch::membership {

/** Settings of a TargetTable. Each switch disables one mechanism, for tests and comparisons. */
struct Options {
    /** Time without a sign of life after which a target is suspect; applied one advanceInterval early. */
    std::chrono::nanoseconds suspectAfter { std::chrono::seconds { 3 } };
    /** Time between two calls of advance. */
    std::chrono::nanoseconds advanceInterval { std::chrono::milliseconds { 100 } };
    /** Time without a sign of life after which a target is gone. */
    std::chrono::nanoseconds goneAfter { std::chrono::seconds { 10 } };
    /** Interval of heartbeats. Targets that become suspect within this time count as simultaneously suspect. */
    std::chrono::nanoseconds heartbeatInterval { std::chrono::seconds { 1 } };
    /** A longer gap between two calls to the table counts as a pause of this process. */
    std::chrono::nanoseconds pauseThreshold { std::chrono::seconds { 1 } };
    /**
     * Largest delay of the platform's list. For this time after the first event of an incarnation, a leave notice
     * without incarnation may concern the previous one.
     */
    std::chrono::nanoseconds listLag { std::chrono::seconds { 60 } };
    /** Time for which a gone target is kept. Messages that are delayed for longer are not recognised as stale. */
    std::chrono::nanoseconds forgetAfter { std::chrono::hours { 1 } };

    bool checkIncarnation = true;
    bool checkSequence = true;
    bool leaveIsFinal = true; ///< Off: a heartbeat of the same incarnation makes a target live again after it left.
    bool detectSilence = true;
    bool suppressMassSuspicion = true;
    bool excludePause = true; ///< Off: a pause of this process counts towards goneAfter.
};

} // namespace chivewinch::membership
