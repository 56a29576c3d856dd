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
    bool retryAmbiguousWrites = true; ///< For tests: if false, an ambiguous write is treated as successful.
};

/** Writes one object at a time. Retries the write with the same bytes until the store confirms that it holds them. */
class SegmentWriter {
public:
    /** Called with true when the object is stored, or with false if the store holds other bytes under the same name. */
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
    /** Store callbacks hold a weak reference to this token and do nothing after the destruction of the writer. */
    std::shared_ptr<int> alive = std::make_shared<int>();

    void put();
    void onPut(std::optional<store::PutResult> result, const store::Error& error);
    void compare();
    void onRead(const std::optional<std::optional<std::string>>& bytes, const store::Error& error);
    void retryLater(const store::Error& error);
    void finish(bool stored);
};

/** Random delay in [delay / 2, delay). The jitter prevents synchronized retries of several processes. */
[[nodiscard]] std::chrono::nanoseconds jittered(std::chrono::milliseconds delay, base::RandomSource& random);

} // namespace chivewinch::usage::internal
