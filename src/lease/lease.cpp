#include "lease/lease.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::lease {

namespace internal {

// The holder renews after a third of the duration. If this fails, one more attempt fits in before the holder stops
// acting at two thirds of the duration.
constexpr int renewalsPerDuration = 3;

std::chrono::nanoseconds scale(std::chrono::milliseconds duration, double factor)
{
    const auto scaled = std::chrono::duration<double, std::milli> { duration } * factor;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(scaled);
}

} // namespace internal

std::string_view toString(LeaseEvent event) noexcept { return event == LeaseEvent::Acquired ? "acquired" : "lost"; }

Lease::Lease(std::string name, std::string holder, store::TableService& tables, store::Scheduler& scheduler,
    const base::Clock& clock, base::RandomSource& random, Listener listener, LeaseOptions options)
    : name { std::move(name) }
    , holder { std::move(holder) }
    , tables { tables }
    , scheduler { scheduler }
    , clock { clock }
    , random { random }
    , listener { std::move(listener) }
    , options { options }
{
}

Lease::~Lease()
{
    if (this->timer)
        this->scheduler.cancel(*this->timer);
    if (this->expiryTimer)
        this->scheduler.cancel(*this->expiryTimer);
}

void Lease::start()
{
    if (std::exchange(this->running, true))
        return;
    this->read();
}

void Lease::stop()
{
    if (!std::exchange(this->running, false))
        return;
    if (this->timer)
        this->scheduler.cancel(*this->timer);
    this->timer.reset();
    const bool wasHeld = this->held();
    this->markLost();
    if (wasHeld)
        this->release();
}

bool Lease::held() const noexcept
{
    return this->isHolder && (!this->options.stopByClock || this->clock.now() < this->heldUntil);
}

std::optional<base::FencingNumber> Lease::fencing() const noexcept
{
    return this->held() ? std::optional { this->heldFencing } : std::nullopt;
}

store::RowKey Lease::rowKey() const { return { .table = std::string { leaseTable }, .key = this->name }; }

/** Wraps a callback so that it does nothing once this lease is destroyed. */
template <typename Function> auto Lease::guarded(Function function)
{
    return [weak = std::weak_ptr { this->alive }, function = std::move(function)](auto&&... arguments) mutable {
        if (weak.lock())
            function(std::forward<decltype(arguments)>(arguments)...);
    };
}

void Lease::schedule(std::chrono::nanoseconds delay)
{
    if (!this->running)
        return;
    if (this->timer)
        this->scheduler.cancel(*this->timer);
    this->timer = this->scheduler.after(delay, this->guarded([this] {
        this->timer.reset();
        this->endIfExpired();
        this->read();
    }));
}

std::chrono::nanoseconds Lease::pollDelay()
{
    const auto renewalInterval = internal::scale(this->options.duration, 1.0 / internal::renewalsPerDuration);
    if (this->isHolder)
        return renewalInterval;
    // Jitter prevents competing processes from reading at the same time.
    return renewalInterval
        + std::chrono::nanoseconds { this->random.below(static_cast<std::uint64_t>(renewalInterval.count())) };
}

void Lease::read()
{
    const auto sentAt = this->clock.now();
    this->tables.get({ this->rowKey() },
        this->guarded([this, sentAt](const std::optional<std::vector<store::Row>>& rows, const store::Error&) {
            if (rows && !rows->empty()) {
                this->onRow(rows->front(), sentAt);
                return;
            }
            ++this->counts.failedReads;
            this->schedule(this->pollDelay());
        }));
}

void Lease::recordRow(const store::Row& row)
{
    if (row.version == this->observedVersion && this->unchangedSince)
        return;
    this->observedVersion = row.version;
    this->observed = decode(row.value).value_or(LeaseRecord {});
    this->unchangedSince = this->clock.now();
}

void Lease::onRow(const store::Row& row, base::SteadyTime sentAt)
{
    if (!this->running)
        return;
    this->recordRow(row);
    this->endIfExpired();
    if (this->isHolder && (!this->isOwnRow() || this->observed.fencing != this->heldFencing))
        this->markLost();
    if (this->isHolder) {
        this->write(this->heldFencing);
        return;
    }
    if (!this->mayAcquire(sentAt)) {
        this->schedule(this->pollDelay());
        return;
    }
    const auto nextFencing
        = static_cast<std::uint64_t>(this->observed.fencing) + (this->options.incrementFencing ? 1 : 0);
    this->write(base::FencingNumber { std::max<std::uint64_t>(nextFencing, 1) });
}

/**
 * Returns true if the row stayed unchanged for the whole duration plus the allowed clock drift, from the first answer
 * with its version until the last read was sent. A released row or a row of this process needs no wait, since its
 * holder has stopped acting on it.
 */
bool Lease::mayAcquire(base::SteadyTime sentAt) const
{
    if (this->observed.holder.empty() || this->isOwnRow() || !this->options.waitFullDuration)
        return true;
    const auto wait = internal::scale(this->observed.duration, 1 + this->options.clockDrift);
    return this->unchangedSince && sentAt - *this->unchangedSince >= wait;
}

void Lease::write(base::FencingNumber fencing)
{
    LeaseRecord record { .holder = this->holder,
        .nonce = toString(base::randomRequestId(this->random)),
        .fencing = fencing,
        .duration = this->options.duration };
    const auto sentAt = this->clock.now();
    const bool renewal = this->isHolder;
    store::Transaction transaction { .conditions = { { .key = this->rowKey(), .version = this->observedVersion } },
        .writes = { { .key = this->rowKey(), .value = encode(record) } } };
    this->tables.transact(std::move(transaction),
        this->guarded(
            [this, sentAt, renewal, record](const std::optional<store::TransactResult>& result, const store::Error&) {
                if (result) {
                    this->onWritten(*result, record, sentAt, renewal);
                    return;
                }
                // The next read shows whether the write took effect.
                ++this->counts.failedWrites;
                this->schedule(this->pollDelay());
            }));
}

void Lease::onWritten(const store::TransactResult& result, LeaseRecord record, base::SteadyTime sentAt, bool renewal)
{
    if (!result.rows.empty())
        this->recordRow(result.rows.front());
    if (!result.committed) {
        ++this->counts.failedWrites;
        this->endIfExpired();
        if (this->isHolder && this->observed.fencing != this->heldFencing)
            this->markLost();
        this->schedule(this->pollDelay());
        return;
    }
    if (!this->running) {
        this->release();
        return;
    }
    this->observed = std::move(record);
    // A renewal that is answered after the lease has ended does not extend it. Otherwise effects of a second holding
    // period under the same fencing number would be indistinguishable from late effects of the first.
    if (!renewal || this->isHolder)
        this->markHeld(this->observed.fencing, sentAt);
    this->schedule(this->pollDelay());
}

void Lease::markHeld(base::FencingNumber fencing, base::SteadyTime sentAt)
{
    const auto end = sentAt + internal::scale(this->options.duration, this->options.holdFraction);
    if (this->options.stopByClock && end <= this->clock.now())
        return; // the holding time had already ended when the answer arrived
    this->heldUntil = end;
    if (this->expiryTimer)
        this->scheduler.cancel(*this->expiryTimer);
    this->expiryTimer = this->scheduler.after(
        std::max(end - this->clock.now(), base::SteadyTime::duration::zero()), this->guarded([this] {
            this->expiryTimer.reset();
            this->endIfExpired();
        }));
    if (this->isHolder) {
        ++this->counts.renewals;
        return;
    }
    this->isHolder = true;
    this->heldFencing = fencing;
    ++this->counts.acquisitions;
    this->listener(LeaseEvent::Acquired, fencing);
}

void Lease::endIfExpired()
{
    if (this->isHolder && !this->held())
        this->markLost();
}

void Lease::markLost()
{
    if (!std::exchange(this->isHolder, false))
        return;
    ++this->counts.losses;
    this->listener(LeaseEvent::Lost, this->heldFencing);
}

/** Clears the holder so that another process can acquire the lease at once. The fencing number stays in the row. */
void Lease::release()
{
    const LeaseRecord record { .holder = "",
        .nonce = toString(base::randomRequestId(this->random)),
        .fencing = this->observed.fencing,
        .duration = this->options.duration };
    this->tables.transact({ .conditions = { { .key = this->rowKey(), .version = this->observedVersion } },
                              .writes = { { .key = this->rowKey(), .value = encode(record) } } },
        [](const auto&, const store::Error&) {});
}

} // namespace chivewinch::lease
