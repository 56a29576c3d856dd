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
    double holdFraction = 2.0 / 3.0; ///< Part of the duration after which the holder stops by itself.
    double clockDrift = 0.1; ///< Greatest difference of clock rates; other processes wait this much longer.
    bool stopByClock = true; ///< Off: the holder acts until it learns that it lost the row.
    bool waitFullDuration = true; ///< Off: another process takes the lease at its first read.
    bool growFencing = true; ///< Off: each acquisition keeps the fencing number.
};

enum class LeaseEvent : std::uint8_t {
    Acquired, ///< This process holds the lease under a new fencing number.
    Lost, ///< The lease ended by the clock, by another holder or by stop().
};

[[nodiscard]] std::string_view toString(LeaseEvent event) noexcept;

/** Counts since the start of the process. */
struct LeaseStats {
    std::uint64_t acquisitions = 0;
    std::uint64_t renewals = 0;
    std::uint64_t losses = 0;
    std::uint64_t failedWrites = 0; ///< Writes that lost to another process or whose outcome is not known.
    std::uint64_t failedReads = 0;

    bool operator==(const LeaseStats&) const = default;
};

/**
 * Competes for one lease row and keeps it. Reads and writes go through the given service, which should be a
 * store::Client. Not thread-safe.
 *
 * The holder must ask held() or fencing() immediately before each side effect and send the fencing number with it.
 */
class Lease {
public:
    using Listener = std::function<void(LeaseEvent, base::FencingNumber)>;

    /** The holder's name must be unique to the process, e.g. instance and incarnation. */
    Lease(std::string name, std::string holder, store::TableService& tables, store::Scheduler& scheduler,
        const base::Clock& clock, base::RandomSource& random, Listener listener, LeaseOptions options = {});
    Lease(const Lease&) = delete;
    Lease& operator=(const Lease&) = delete;
    ~Lease();

    /** Begins to compete. */
    void start();

    /** Stops competing and releases the row if held; later calls of held() are false. */
    void stop();

    /** Whether this process may act now, by its own clock. */
    [[nodiscard]] bool held() const noexcept;

    /** The fencing number while held. */
    [[nodiscard]] std::optional<base::FencingNumber> fencing() const noexcept;

    /** Name of the holder in the last row read; empty if none. */
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
    std::optional<store::TimerId> endTimer;
    bool running = false;

    LeaseRecord observed; ///< Last row read.
    std::uint64_t observedVersion = store::absentVersion;
    std::optional<base::SteadyTime> unchangedSince; ///< When the answer with this row version first arrived.

    bool acting = false; ///< Acquired was reported, Lost not yet.
    base::FencingNumber number {};
    base::SteadyTime actUntil {};

    [[nodiscard]] store::RowKey rowKey() const;
    template <typename Function> auto guarded(Function function);
    void schedule(std::chrono::nanoseconds delay);
    void read();
    void onRow(const store::Row& row, base::SteadyTime sentAt);
    [[nodiscard]] bool mayTake(base::SteadyTime sentAt) const;
    [[nodiscard]] bool isMine() const noexcept { return this->observed.holder == this->holder; }
    void write(base::FencingNumber fencing);
    void onWritten(const store::TransactResult& result, LeaseRecord record, base::SteadyTime sentAt, bool renewal);
    void remember(const store::Row& row);
    void hold(base::FencingNumber fencing, base::SteadyTime sentAt);
    void endIfDue();
    void lose();
    void release();
    [[nodiscard]] std::chrono::nanoseconds pollDelay();
};

} // namespace chivewinch::lease
