#pragma once

#include "base/clock.hpp"
#include "base/random.hpp"
#include "lease/lease_record.hpp"
#include "store/scheduler.hpp"
#include "store/table_service.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace chivewinch::lease {

struct LeaseOptions {
    std::chrono::milliseconds duration { std::chrono::seconds { 15 } };
    /** Fraction of the duration after which the holder stops acting unless it has renewed the lease. */
    double holdFraction = 2.0 / 3.0;
    /** Largest relative difference of clock rates. Other processes wait longer by this fraction. */
    double clockDrift = 0.1;
    bool stopByClock = true; ///< If false, the holder acts until it reads that it lost the row.
    bool waitFullDuration = true; ///< If false, another process acquires the lease at its first read.
    bool incrementFencing = true; ///< If false, each acquisition keeps the fencing number.
};

enum class LeaseEvent : std::uint8_t {
    Acquired, ///< This process holds the lease under a new fencing number.
    Lost, ///< The lease expired, another process acquired it, or stop() was called.
};

[[nodiscard]] std::string_view toString(LeaseEvent event) noexcept;

/** Counts since the start of the process. */
struct LeaseStats {
    std::uint64_t acquisitions = 0;
    std::uint64_t renewals = 0;
    std::uint64_t losses = 0;
    std::uint64_t failedWrites = 0; ///< Writes that conflicted with another process or whose outcome is unknown.
    std::uint64_t failedReads = 0;

    bool operator==(const LeaseStats&) const = default;
};

/**
 * Acquires the lease stored in one row and renews it. Reads and writes use the given table service, which should be
 * that of a store::Client. Not thread-safe.
 *
 * The holder must call held() or fencing() immediately before each side effect and send the fencing number with it.
 */
class Lease {
public:
    using Listener = std::function<void(LeaseEvent, base::FencingNumber)>;

    /** The name of the holder must be unique to the process, e.g. instance and incarnation. */
    Lease(std::string name, std::string holder, store::TableService& tables, store::Scheduler& scheduler,
        const base::Clock& clock, base::RandomSource& random, Listener listener, LeaseOptions options = {});
    Lease(const Lease&) = delete;
    Lease& operator=(const Lease&) = delete;
    ~Lease();

    /** Starts trying to acquire the lease. */
    void start();

    /** Stops acquiring and renewing, and releases the lease if held. From then on, held() returns false. */
    void stop();

    /** Returns true if this process may act now, according to its own clock. */
    [[nodiscard]] bool held() const noexcept;

    /** Returns the fencing number while the lease is held, otherwise nullopt. */
    [[nodiscard]] std::optional<base::FencingNumber> fencing() const noexcept;

    /** Returns the name of the holder in the last observed row, or an empty name if there is none. */
    [[nodiscard]] const std::string& lastHolder() const noexcept { return this->observed.holder; }
    [[nodiscard]] const LeaseStats& stats() const noexcept { return this->counts; }

private:
    struct Alive { };

    std::string name;
    std::string holder;
    store::TableService& tables;
    store::Scheduler& scheduler;
    const base::Clock& clock;
    base::RandomSource& random;
    Listener listener;
    LeaseOptions options;
    LeaseStats counts;
    std::shared_ptr<Alive> alive = std::make_shared<Alive>();
    std::optional<store::TimerId> timer;
    std::optional<store::TimerId> expiryTimer;
    bool running = false;

    LeaseRecord observed; ///< Content of the last observed row.
    std::uint64_t observedVersion = store::absentVersion;
    std::optional<base::SteadyTime> unchangedSince; ///< Time of the first answer with observedVersion.

    bool isHolder = false; ///< The listener got Acquired and has not got Lost since.
    base::FencingNumber heldFencing {};
    base::SteadyTime heldUntil {};

    [[nodiscard]] store::RowKey rowKey() const;
    template <typename Function> auto guarded(Function function);
    void schedule(std::chrono::nanoseconds delay);
    void read();
    void onRow(const store::Row& row, base::SteadyTime sentAt);
    [[nodiscard]] bool mayAcquire(base::SteadyTime sentAt) const;
    [[nodiscard]] bool isOwnRow() const noexcept { return this->observed.holder == this->holder; }
    void write(base::FencingNumber fencing);
    void onWritten(const store::TransactResult& result, LeaseRecord record, base::SteadyTime sentAt, bool renewal);
    void recordRow(const store::Row& row);
    void markHeld(base::FencingNumber fencing, base::SteadyTime sentAt);
    void endIfExpired();
    void markLost();
    void release();
    [[nodiscard]] std::chrono::nanoseconds pollDelay();
};

} // namespace chivewinch::lease
