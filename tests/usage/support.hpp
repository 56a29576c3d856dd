#pragma once

#include "base/clock.hpp"
#include "base/random.hpp"
#include "store/memory_store.hpp"
#include "support/fake_scheduler.hpp"
#include "support/faulty_store.hpp"
#include "usage/ledger.hpp"

#include <memory>
#include <string>

namespace chivewinch::usage::test {

/** Key derived from the instance name only, so that a restarted process uses the same key. */
inline SigningKey keyOf(const std::string& instance)
{
    const auto digest = sha256(instance);
    return SigningKey::fromSeed(digest);
}

inline Record sampleRecord(base::RandomSource& random, WallMillis now)
{
    Record record;
    record.id = { .request = base::randomRequestId(random), .number = 1 };
    record.owner = random.below(2) == 0 ? "kilat-lilin" : "lepelgilde";
    record.team = "team-" + std::to_string(random.below(10));
    record.model = "model-" + std::to_string(random.below(3));
    record.peerInstance = "agent-" + std::to_string(random.below(4));
    record.peerIncarnation = static_cast<base::Incarnation>(7);
    record.issued = now - std::chrono::milliseconds { 900 };
    record.finished = now;
    record.counts = { .promptTokens = static_cast<std::uint32_t>(random.below(2000)),
        .cachedTokens = static_cast<std::uint32_t>(random.below(500)),
        .generatedTokens = static_cast<std::uint32_t>(random.below(400)) };
    return record;
}

/** Simulated environment: a manual clock, a scheduler and a store with injected faults. */
struct World {
    explicit World(std::uint64_t seed)
        : random { seed }
    {
    }

    base::SeededRandom random;
    base::ManualClock clock;
    support::FakeScheduler scheduler { this->clock };
    store::MemoryObjectStore memory;
    support::FaultyObjectStore objects { this->memory, this->scheduler, this->random };

    [[nodiscard]] WallMillis now() const { return toMillis(this->clock.wallNow()); }

    std::unique_ptr<Ledger> ledger(LedgerOptions options)
    {
        const auto key = keyOf(options.process.instance);
        return std::make_unique<Ledger>(
            std::move(options), key, this->objects, this->scheduler, this->clock, this->random);
    }
};

} // namespace chivewinch::usage::test
