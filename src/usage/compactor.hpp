#pragma once

#include "base/id.hpp"
#include "store/object_store.hpp"
#include "usage/collector.hpp"
#include "usage/error.hpp"
#include "usage/key.hpp"
#include "usage/report.hpp"
#include "usage/verifier.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::usage {

/** Name prefixes of all segments that may contain records of the hour, within the limits in the options. */
[[nodiscard]] std::vector<std::string> prefixesOfHour(WallMillis hour, const VerifierOptions& options);

/** Verifies one hour and writes its signed summary. Run it only in the process that holds the summary lease. */
class Compactor {
public:
    /** The report is nullopt if a store operation failed; the caller may then call run() again. */
    using Callback = std::function<void(std::optional<Report>, const Error&)>;

    Compactor(VerifierOptions options, KeyList keys, SigningKey key, ProcessId writer, store::ObjectStore& objects);
    Compactor(const Compactor&) = delete;
    Compactor& operator=(const Compactor&) = delete;
    ~Compactor() = default;

    /** Earliest time at which every running process has written its records of the hour. */
    [[nodiscard]] WallMillis readyAt(WallMillis hour) const noexcept;

    /**
     * Starts a run; only one may be in progress. If a summary of the hour is already stored, it is kept, and the report
     * contains a SummaryMismatch finding if its totals differ.
     */
    void run(WallMillis hour, base::FencingNumber fencing, Callback callback);

private:
    VerifierOptions options;
    KeyList keys;
    SigningKey key;
    ProcessId writer;
    store::ObjectStore& objects;
    Collector collector;
    std::unique_ptr<Verifier> verifier;
    WallMillis hour;
    base::FencingNumber fencing {};
    Callback callback;
    std::shared_ptr<int> alive = std::make_shared<int>();

    void onCollected(const Error& error);
    void onPrevious(Report report, const std::optional<std::optional<std::string>>& bytes, const store::Error& error);
    void put(Report report, const Digest& previous);
    void compare(Report report);
    void fail(const store::Error& error);
};

} // namespace chivewinch::usage
