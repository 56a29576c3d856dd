#pragma once

#include "watch/row_feed.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::relay {

/** Copy of a table's rows in one process, with the version of each change, for other processes that read from it. */
class TableCopy {
public:
    /**
     * Returns true if two values of a row are equivalent for all readers. With it, rows that are updated continually
     * are rarely passed on.
     */
    using EquivalencePredicate = std::function<bool(const std::string& left, const std::string& right)>;

    /**
     * Number of removed rows that are kept. Beyond it they are discarded, and a reader with an older version gets the
     * complete table.
     */
    static constexpr std::size_t maxRemoved = 1'000;

    explicit TableCopy(EquivalencePredicate isEquivalent = {})
        : isEquivalent { std::move(isEquivalent) }
    {
    }

    /** Replaces the rows by the complete table as of the version. */
    void replace(const std::vector<watch::RowChange>& rows, std::uint64_t version);
    void change(const std::vector<watch::RowChange>& rows, std::uint64_t version);

    /** False until the complete table was read. */
    [[nodiscard]] bool isKnown() const noexcept { return this->known; }
    /** Version of the last change that was not equivalent to the previous value. */
    [[nodiscard]] std::uint64_t changedAt() const noexcept { return this->lastChangedVersion; }
    /** Changes after the version; nullopt if the changes since that version are not available. */
    [[nodiscard]] std::optional<std::vector<watch::RowChange>> since(std::uint64_t version) const;
    [[nodiscard]] std::vector<watch::RowChange> all() const;

private:
    struct Row {
        std::optional<std::string> value; ///< nullopt if the row was removed.
        std::uint64_t changedAt = 0;
    };

    EquivalencePredicate isEquivalent;
    std::map<std::string, Row> rows;
    std::size_t removed = 0;
    bool known = false;
    std::uint64_t lastChangedVersion = 0;
    std::uint64_t historyStart = 0; ///< Changes before this version are not available individually.

    void put(const watch::RowChange& row, std::uint64_t version);
    void pruneRemoved(std::uint64_t version);
};

} // namespace chivewinch::relay
