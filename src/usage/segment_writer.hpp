#pragma once

#include "base/random.hpp"
#include "store/object_store.hpp"
#include "store/scheduler.hpp"
#include "usage/error.hpp"
#include "usage/segment.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace chivewinch::usage::internal {

struct WriterOptions {
    std::chrono::milliseconds retryMin { 1000 };
    std::chrono::milliseconds retryMax { 60000 };
    bool rewriteAfterLoss = true; ///< Off: a write with an unknown result is taken as done. For tests.
};

/** Writes one object at a time and repeats the same bytes until the store is known to hold them. */
class SegmentWriter {
public:
    /** Called with true when the object is stored, with false when the store holds other bytes under its name. */
    using Callback = std::function<void(bool)>;

    SegmentWriter(WriterOptions options, store::ObjectStore& objects, store::Scheduler& scheduler,
        base::RandomSource& random) noexcept;
    SegmentWriter(const SegmentWriter&) = delete;
    SegmentWriter& operator=(const SegmentWriter&) = delete;
    ~SegmentWriter();

    void write(SealedSegment segment, Callback callback);

    [[nodiscard]] bool busy() const noexcept { return this->current.has_value(); }
    /** Size of the object being written, in bytes. */
    [[nodiscard]] std::size_t bytes() const noexcept { return this->current ? this->current->bytes.size() : 0; }
    [[nodiscard]] std::uint64_t rewrites() const noexcept { return this->rewriteCount; }
    [[nodiscard]] const Error& lastReason() const noexcept { return this->reason; }

private:
    WriterOptions options;
    store::ObjectStore& objects;
    store::Scheduler& scheduler;
    base::RandomSource& random;
    std::optional<SealedSegment> current;
    Callback done;
    std::chrono::milliseconds retryDelay;
    std::optional<store::TimerId> timer;
    std::uint64_t rewriteCount = 0;
    Error reason;
    /** Store callbacks hold a weak reference to this token, so that none runs after destruction. */
    std::shared_ptr<int> alive = std::make_shared<int>();

    void put();
    void onPut(std::optional<store::PutResult> result, const store::Error& error);
    void compare();
    void onRead(const std::optional<std::optional<std::string>>& bytes, const store::Error& error);
    void retryLater(const store::Error& error);
    void finish(bool stored);
};

/** Random delay in [delay / 2, delay), so that processes that fail together do not retry together. */
[[nodiscard]] std::chrono::nanoseconds jittered(std::chrono::milliseconds delay, base::RandomSource& random);

} // namespace chivewinch::usage::internal
