#pragma once

#include "relay/copy_position.hpp"
#include "watch/row_feed.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::relay {

/** Copy of a table's rows in one process, with the position of each change, for other processes that read from it. */
class TableCopy {
public:
    /**
     * Returns true if two values of a row are equivalent for all readers. With it, rows that are updated continually
     * are rarely passed on.
     */
    using EquivalencePredicate = std::function<bool(const std::string& left, const std::string& right)>;

    /**
     * Number of removed rows that are kept. Beyond it they are discarded, and a reader with an older position gets the
     * complete table.
     */
    static constexpr std::size_t maxRemoved = 1'000;

    /** @param id Identifies the copy in its positions; must differ for each process and each of its starts. */
    explicit TableCopy(std::uint64_t id, EquivalencePredicate isEquivalent = {})
        : isEquivalent { std::move(isEquivalent) }
        , current { .copy = id }
    {
    }

    /** Replaces the rows by the complete table. */
    void replace(const std::vector<watch::RowChange>& rows);
    void change(const std::vector<watch::RowChange>& rows);

    /** False until the complete table was read. */
    [[nodiscard]] bool isKnown() const noexcept { return this->known; }
    [[nodiscard]] const CopyPosition& position() const noexcept { return this->current; }
    /** Revision of the last change that was not equivalent to the previous value. */
    [[nodiscard]] std::uint64_t changedAt() const noexcept { return this->lastChangedRevision; }
    /** False for a position of another copy, and if the changes since the position are not available. */
    [[nodiscard]] bool covers(const CopyPosition& position) const noexcept;
    /** Changes for a reader that has the rows of the position; nullopt if the position is not covered. */
    [[nodiscard]] std::optional<std::vector<watch::RowChange>> since(const CopyPosition& position) const;
    [[nodiscard]] std::vector<watch::RowChange> all() const;

private:
    struct Row {
        std::optional<std::string> value; ///< nullopt if the row was removed.
        std::uint64_t changedAt = 0; ///< Revision.
    };

    EquivalencePredicate isEquivalent;
    std::map<std::string, Row> rows;
    std::size_t removed = 0;
    bool known = false;
    CopyPosition current;
    std::uint64_t lastChangedRevision = 0;
    std::uint64_t historyStart = 0; ///< Changes before this revision are not available individually.

    void put(const watch::RowChange& row);
    void pruneRemoved();
};

} // namespace chivewinch::relay
