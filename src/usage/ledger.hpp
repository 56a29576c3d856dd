#pragma once

#include "base/clock.hpp"
#include "base/random.hpp"
#include "store/object_store.hpp"
#include "store/scheduler.hpp"
#include "usage/record_buffer.hpp"
#include "usage/segment.hpp"
#include "usage/segment_writer.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace chivewinch::usage {

/** Time between segments of an entry. It bounds how many records a double failure can lose. */
inline constexpr std::chrono::milliseconds entrySegmentInterval { std::chrono::seconds { 30 } };
/** Time between segments of an agent. */
inline constexpr std::chrono::milliseconds agentSegmentInterval { std::chrono::seconds { 300 } };

struct LedgerOptions {
    Side side = Side::Entry;
    ProcessId process;
    std::chrono::milliseconds segmentInterval = entrySegmentInterval;
    std::size_t maxBufferedBytes = 48ULL << 20;
    /** Number of records for which memory is reserved, for work in progress when canAccept() becomes false. */
    std::size_t reservedRecords = 4096;
    std::size_t maxSegmentRecords = 65536;
    /**
     * Maximum time for which a process counts work after the end of its last stored segment; then canAccept() returns
     * false. The verifier relies on this bound.
     */
    std::chrono::milliseconds maxBacklogAge { std::chrono::hours { 2 } };
    internal::WriterOptions writer {};
    bool enforceBacklogBounds = true; ///< For tests: if false, canAccept() ignores both bounds.
};

/** State of a ledger, exported as metrics and log events. */
struct LedgerStatus {
    std::uint64_t countedRecords = 0;
    std::uint64_t storedRecords = 0;
    std::uint64_t storedSegments = 0;
    std::uint64_t storedBytes = 0;
    std::uint64_t rewrites = 0;
    std::size_t bufferedRecords = 0;
    std::size_t bufferedBytes = 0;
    std::chrono::milliseconds backlogAge {};
    bool conflict = false;

    bool operator==(const LedgerStatus&) const = default;
};

/**
 * Counts the work of one process and writes it as a chain of signed segments.
 *
 * Not thread-safe. add() performs no I/O. Segments are written from close(), timers and store callbacks only.
 */
class Ledger {
public:
    Ledger(LedgerOptions options, SigningKey key, store::ObjectStore& objects, store::Scheduler& scheduler,
        const base::Clock& clock, base::RandomSource& random);
    Ledger(const Ledger&) = delete;
    Ledger& operator=(const Ledger&) = delete;
    ~Ledger();

    /** Opens the chain: looks up the instance's previous incarnation, then writes a marker and the first segment. */
    void start();

    /** Whether new work may start. If false, refuse it as "not run" with RefusalReason::UsageBacklog. */
    [[nodiscard]] bool canAccept() const noexcept;

    /** Counts one attempt or charge. Call it before sending the final frame (agent) or the last byte (entry). */
    void add(const RecordView& record);
    void add(const Record& record) { this->add(viewOf(record)); }

    /** Records that another process exists, so that the verifier reports a missing chain if it stores no segment. */
    void addWitnessedProcess(const ProcessId& process, Side side);

    /**
     * Processes passed to addWitnessedProcess() that are not yet in a stored segment, and this process until its marker
     * is stored. Send the list to every peer, which passes each item to its own addWitnessedProcess(). The verifier
     * then learns of a process even if that process starts and ends during a store outage.
     */
    [[nodiscard]] std::vector<Witness> unstoredWitnesses() const;

    /** Writes all records and a closing segment, then calls the callback. Do not call add() afterwards. */
    void close(std::function<void()> done);

    [[nodiscard]] LedgerStatus status() const;
    [[nodiscard]] const Error& lastReason() const noexcept { return this->writer.lastReason(); }

private:
    LedgerOptions options;
    SigningKey key;
    store::ObjectStore& objects;
    store::Scheduler& scheduler;
    const base::Clock& clock;
    base::RandomSource& random;
    internal::RecordBuffer buffer;
    internal::SegmentWriter writer;
    std::vector<Witness> newWitnesses;
    std::vector<Witness> writingWitnesses; ///< Contained in the segment that is being written.
    std::set<ProcessId> knownWitnesses;
    SegmentHeader next;
    base::SteadyTime storedUntil; ///< All records counted before this time are stored.
    std::optional<store::TimerId> timer;
    std::chrono::milliseconds lookupDelay;
    std::function<void()> closed;
    bool started = false;
    bool closing = false;
    std::size_t writingRecords = 0;
    LedgerStatus totals;
    std::shared_ptr<int> alive = std::make_shared<int>();

    void findPrevious(std::string startAfter);
    void onPreviousNames(const std::optional<std::vector<std::string>>& names);
    void schedule(std::chrono::nanoseconds delay, void (Ledger::*step)());
    void retryLookup();
    void writeMarker();
    void writeNext();
    [[nodiscard]] Segment takeSegment();
    void onWritten(bool stored, std::size_t records, std::size_t bytes, base::SteadyTime coveredUntil);
};

} // namespace chivewinch::usage
