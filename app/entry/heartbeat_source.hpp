#pragma once

#include "base/id.hpp"
#include "entry/options.hpp"
#include "entry/tables.hpp"
#include "wire/wire.pb.h"

#include <atomic>
#include <cstdint>

namespace chivewinch::entry {

/** Builds the hello, heartbeat and goodbye messages of this entry for all control streams. Thread-safe. */
class HeartbeatSource {
public:
    HeartbeatSource(const EntryOptions& options, Tables& tables, base::Incarnation incarnation) noexcept
        : options { options }
        , tables { tables }
        , incarnation { incarnation }
    {
    }

    [[nodiscard]] wire::Control hello() const;
    [[nodiscard]] wire::Control heartbeat();
    [[nodiscard]] wire::Control goodbye() const;
    /** Sets the state in later heartbeats to "leaving". */
    void setLeaving() noexcept { this->leaving = true; }

private:
    const EntryOptions& options;
    Tables& tables;
    base::Incarnation incarnation;
    std::atomic<std::uint64_t> sequence { 0 };
    std::atomic<bool> leaving { false };
};

} // namespace chivewinch::entry
