#include "usage/segment_writer.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::usage::internal {

std::chrono::nanoseconds jittered(std::chrono::milliseconds delay, base::RandomSource& random)
{
    const std::chrono::nanoseconds half = delay / 2;
    return half + std::chrono::nanoseconds { random.below(static_cast<std::uint64_t>(half.count())) };
}

SegmentWriter::SegmentWriter(WriterOptions options, store::ObjectStore& objects, store::Scheduler& scheduler,
    base::RandomSource& random) noexcept
    : options { options }
    , objects { objects }
    , scheduler { scheduler }
    , random { random }
    , retryDelay { options.retryMin }
{
}

SegmentWriter::~SegmentWriter()
{
    if (this->timer)
        this->scheduler.cancel(*this->timer);
}

void SegmentWriter::write(SealedSegment segment, Callback callback)
{
    this->current = std::move(segment);
    this->done = std::move(callback);
    this->retryDelay = this->options.retryMin;
    this->put();
}

void SegmentWriter::put()
{
    this->objects.putIfAbsent(this->current->name, this->current->bytes,
        [this, token = std::weak_ptr<int> { this->alive }](auto result, const store::Error& error) {
            if (!token.expired())
                this->onPut(result, error);
        });
}

void SegmentWriter::onPut(std::optional<store::PutResult> result, const store::Error& error)
{
    if (result == store::PutResult::Created) {
        this->finish(true);
        return;
    }
    if (result == store::PutResult::Exists) {
        this->compare();
        return;
    }
    if (!this->options.retryAmbiguousWrites && error.code == store::ErrorCode::Ambiguous) {
        this->finish(true);
        return;
    }
    this->retryLater(error);
}

void SegmentWriter::compare()
{
    this->objects.get(
        this->current->name, [this, token = std::weak_ptr<int> { this->alive }](auto bytes, const store::Error& error) {
            if (!token.expired())
                this->onRead(bytes, error);
        });
}

void SegmentWriter::onRead(const std::optional<std::optional<std::string>>& bytes, const store::Error& error)
{
    if (!bytes || !*bytes) {
        this->retryLater(error);
        return;
    }
    const bool own = **bytes == this->current->bytes;
    if (!own)
        this->reason = { .code = ErrorCode::ChainConflict, .detail = "object " + this->current->name + " differs" };
    this->finish(own);
}

void SegmentWriter::retryLater(const store::Error& error)
{
    this->reason = { .code = ErrorCode::StoreUnavailable,
        .detail = std::string { store::toString(error.code) } + ": " + error.detail };
    ++this->rewriteCount;
    this->timer = this->scheduler.after(jittered(this->retryDelay, this->random), [this] {
        this->timer.reset();
        this->put();
    });
    this->retryDelay = std::min(2 * this->retryDelay, this->options.retryMax);
}

void SegmentWriter::finish(bool stored)
{
    this->current.reset();
    const auto callback = std::exchange(this->done, nullptr);
    callback(stored);
}

} // namespace chivewinch::usage::internal
