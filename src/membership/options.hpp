#pragma once

#include <chrono>

namespace chivewinch::membership {

/** Settings of a TargetTable. The switches turn single mechanisms off, for tests and comparisons. */
struct Options {
    /** Silence after which a target is suspect. It becomes so at the last call of advance before. */
    std::chrono::nanoseconds suspectAfter { std::chrono::seconds { 3 } };
    /** Time between two calls of advance. */
    std::chrono::nanoseconds advanceInterval { std::chrono::milliseconds { 100 } };
    /** Silence after which a target is gone. */
    std::chrono::nanoseconds goneAfter { std::chrono::seconds { 10 } };
    /** Window in which suspicions count as simultaneous; the interval of heartbeats. */
    std::chrono::nanoseconds heartbeatInterval { std::chrono::seconds { 1 } };
    /** A longer time without any call to the table is a pause of this process. */
    std::chrono::nanoseconds pauseThreshold { std::chrono::seconds { 1 } };
    /** A leave notice without incarnation may be this late and mean the previous incarnation. */
    std::chrono::nanoseconds listLag { std::chrono::seconds { 60 } };
    /** Time that a gone target is remembered; messages delayed for longer are not recognised as old. */
    std::chrono::nanoseconds forgetAfter { std::chrono::hours { 1 } };

    bool checkIncarnation = true;
    bool checkSequence = true;
    bool keepLeft = true; ///< Off: a message of the same incarnation may revive a target that left.
    bool detectSilence = true;
    bool suppressMassSuspicion = true;
    bool creditPause = true; ///< Off: a pause of this process counts as silence that makes targets gone.
};

} // namespace chivewinch::membership
