#pragma once

#include "base/clock.hpp"
#include "suspect/strike_record.hpp"
#include "suspect/suspect_features.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chivewinch::suspect {

/** Settings of StrikeArchive. */
struct StrikeArchiveOptions {
    std::chrono::nanoseconds expiry { std::chrono::minutes { 10 } }; ///< Of strikes.
    /** Pause between two readings of the table while this process is responsible for rows. */
    std::chrono::milliseconds reloadPause { std::chrono::seconds { 10 } };
    /** Pause after which responsibility is determined anew, as members come and go. */
    std::chrono::milliseconds checkPause { 1'000 };
};

/**
 * Keeps the strikes that all processes should know in a table of a store, so that they outlast a moment at which all
 * processes end. Each strike has a row of its own that never changes but for being cleared, so that writers need no
 * order among each other, and a write that is carried out late does no harm. Responsible for the rows of a fingerprint
 * are two of the processes. They read the table again from time to time: a store that was restored from an older copy
 * gets again what it has lost. Not thread-safe.
 */
class StrikeArchive {
public:
    using Rows = std::vector<std::pair<std::string, std::string>>; ///< Key and value.

    /** A row to be written; to be removed if it has no value. */
    struct Write {
        std::string key;
        std::optional<std::string> value;
    };

    StrikeArchive(const base::Clock& clock, const StrikeTable& requests, SharedStrikes& requestSharing,
        SuspectFeatures& features, StrikeArchiveOptions options);

    /** Takes over the strikes of the table; rows that cannot be decoded are left alone. */
    void load(const Rows& rows);
    /** Rows to be written now; each must be passed to recordWrite once the store has acknowledged it. */
    [[nodiscard]] std::vector<Write> writes();
    void recordWrite(const Write& write);
    /** True if writes may return something new. */
    [[nodiscard]] bool hasChanges() const;
    /** True if the table should be read again. */
    [[nodiscard]] bool needsReload() const;

private:
    struct Stored {
        StrikeKind kind = StrikeKind::Request;
        Strike strike;
        base::SteadyTime at;
        bool cleared = false;
    };

    const base::Clock& clock;
    const StrikeTable& requests;
    SharedStrikes& requestSharing;
    SuspectFeatures& features;
    StrikeArchiveOptions options;
    std::map<std::string, Stored> stored; ///< Rows that the store is known to have.
    std::optional<std::pair<std::uint64_t, std::uint64_t>> checkedVersions; ///< Of both tables.
    base::SteadyTime nextCheck {};
    base::SteadyTime nextReload {};

    [[nodiscard]] std::pair<std::uint64_t, std::uint64_t> versions() const;
    [[nodiscard]] bool isResponsible(StrikeKind kind, std::uint64_t fingerprint) const;
    [[nodiscard]] bool isResponsibleForRows() const;
    [[nodiscard]] const StrikeTable& tableOf(StrikeKind kind) const;
    void addMissing(StrikeKind kind, const StrikeList& reports, std::vector<Write>& writes) const;
    [[nodiscard]] Write writeOf(StrikeKind kind, const StrikeReport& report) const;
};

} // namespace chivewinch::suspect
