#include "usage/ledger.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::usage {

namespace internal {

constexpr std::size_t lookupPageSize = 1000;

} // namespace internal

Ledger::Ledger(LedgerOptions options, SigningKey key, store::ObjectStore& objects, store::Scheduler& scheduler,
    const base::Clock& clock, base::RandomSource& random)
    : options { std::move(options) }
    , key { std::move(key) }
    , objects { objects }
    , scheduler { scheduler }
    , clock { clock }
    , random { random }
    , writer { this->options.writer, objects, scheduler, random }
    , storedUntil { clock.now() }
    , lookupDelay { this->options.writer.retryMin }
{
    this->next.side = this->options.side;
    this->next.process = this->options.process;
    this->next.coversFrom = toMillis(clock.wallNow());
}

Ledger::~Ledger()
{
    if (this->timer)
        this->scheduler.cancel(*this->timer);
}

void Ledger::start() { this->findPrevious({}); }

void Ledger::findPrevious(std::string startAfter)
{
    this->objects.list(openPrefix(this->options.process.instance), std::move(startAfter), internal::lookupPageSize,
        [this, token = std::weak_ptr<int> { this->alive }](const auto& names, const store::Error&) {
            if (!token.expired())
                this->onPreviousNames(names);
        });
}

void Ledger::onPreviousNames(const std::optional<std::vector<std::string>>& names)
{
    if (!names) {
        this->schedule(internal::jittered(this->lookupDelay, this->random), &Ledger::retryLookup);
        this->lookupDelay = std::min(2 * this->lookupDelay, this->options.writer.retryMax);
        return;
    }
    for (const auto& name : *names) {
        const auto incarnation = parseOpenName(name);
        const auto& own = this->options.process;
        // The listing may contain markers of other instances, because an instance name may contain a slash: the prefix
        // of "a" also matches the markers of "a/b".
        const bool ofInstance
            = incarnation && name == openName({ .instance = own.instance, .incarnation = *incarnation });
        if (ofInstance && *incarnation < own.incarnation)
            this->next.replaces = std::max(this->next.replaces, *incarnation);
    }
    if (names->size() == internal::lookupPageSize) {
        this->findPrevious(names->back());
        return;
    }
    this->writeMarker();
}

void Ledger::writeMarker()
{
    // The nonce makes the marker unique. A second process with the same identity then finds other bytes in the store
    // and detects the conflict.
    auto bytes
        = std::string { toString(this->options.side) } + ' ' + base::toString(base::randomRequestId(this->random));
    this->writer.write({ .name = openName(this->options.process), .bytes = std::move(bytes) }, [this](bool stored) {
        this->started = stored;
        this->totals.conflict = !stored;
        if (stored)
            this->writeNext();
    });
}

void Ledger::retryLookup() { this->findPrevious({}); }

void Ledger::schedule(std::chrono::nanoseconds delay, void (Ledger::*step)())
{
    this->timer = this->scheduler.after(delay, [this, step] {
        this->timer.reset();
        (this->*step)();
    });
}

bool Ledger::canAccept() const noexcept
{
    if (this->closing || this->totals.conflict)
        return false;
    if (!this->options.enforceBacklogBounds)
        return true;
    const auto reserved = this->options.reservedRecords * internal::maxBytesPerRecord;
    if (this->buffer.bytes() + this->writer.bytes() + reserved > this->options.maxBufferedBytes)
        return false;
    return this->clock.now() - this->storedUntil < this->options.maxBacklogAge;
}

void Ledger::add(const RecordView& record)
{
    this->buffer.add(record);
    ++this->totals.countedRecords;
}

void Ledger::addWitnessedProcess(const ProcessId& process, Side side)
{
    if (process != this->options.process && this->knownWitnesses.insert(process).second)
        this->newWitnesses.push_back({ .process = process, .side = side });
}

std::vector<Witness> Ledger::unstoredWitnesses() const
{
    auto result = this->newWitnesses;
    result.insert(result.end(), this->writingWitnesses.begin(), this->writingWitnesses.end());
    if (!this->started)
        result.push_back({ .process = this->options.process, .side = this->options.side });
    return result;
}

void Ledger::close(std::function<void()> done)
{
    this->closing = true;
    this->closed = std::move(done);
    if (this->timer && this->started) {
        this->scheduler.cancel(*this->timer);
        this->timer.reset();
        this->writeNext();
    }
}

void Ledger::writeNext()
{
    const auto segment = this->takeSegment();
    const auto age = std::max(toMillis(this->clock.wallNow()) - segment.header.coversUntil, WallMillis::duration { 0 });
    const auto coveredUntil = this->clock.now() - age;
    auto sealed = seal(segment, this->key);
    this->next.number = segment.header.number + 1;
    this->next.previous = sealed.link;
    this->next.replaces = {};
    this->next.coversFrom = segment.header.coversUntil;
    this->writingRecords = segment.records.size();
    const auto size = sealed.bytes.size();
    const auto closes = segment.header.closes;
    this->writer.write(std::move(sealed), [this, size, closes, coveredUntil](bool stored) {
        this->next.closes = closes;
        this->onWritten(stored, this->writingRecords, size, coveredUntil);
    });
}

Segment Ledger::takeSegment()
{
    Segment segment { .header = this->next };
    this->buffer.take(this->options.maxSegmentRecords, segment);
    this->writingWitnesses = std::exchange(this->newWitnesses, {});
    segment.witnessed = this->writingWitnesses;
    const bool complete = this->buffer.empty();
    const auto until
        = complete || segment.records.empty() ? toMillis(this->clock.wallNow()) : segment.records.back().finished;
    segment.header.coversUntil = std::max(segment.header.coversFrom, until);
    segment.header.closes = complete && this->closing;
    return segment;
}

void Ledger::onWritten(bool stored, std::size_t records, std::size_t bytes, base::SteadyTime coveredUntil)
{
    this->writingRecords = 0;
    this->writingWitnesses.clear();
    if (!stored) {
        this->totals.conflict = true;
        return;
    }
    this->storedUntil = coveredUntil;
    this->totals.storedRecords += records;
    this->totals.storedBytes += bytes;
    ++this->totals.storedSegments;
    if (this->next.closes) {
        if (this->closed)
            std::exchange(this->closed, nullptr)();
        return;
    }
    if (this->closing || this->buffer.size() >= this->options.maxSegmentRecords) {
        this->schedule(std::chrono::nanoseconds { 0 }, &Ledger::writeNext);
        return;
    }
    const auto first = this->totals.storedSegments == 1;
    const auto interval = this->options.segmentInterval;
    this->schedule(
        first ? internal::jittered(interval, this->random) : std::chrono::nanoseconds { interval }, &Ledger::writeNext);
}

LedgerStatus Ledger::status() const
{
    auto status = this->totals;
    status.rewrites = this->writer.rewrites();
    status.bufferedRecords = this->buffer.size() + this->writingRecords;
    status.bufferedBytes = this->buffer.bytes() + this->writer.bytes();
    status.backlogAge = std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now() - this->storedUntil);
    return status;
}

} // namespace chivewinch::usage
