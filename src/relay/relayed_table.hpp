#pragma once

#include "relay/codec.hpp"
#include "relay/table_copy.hpp"
#include "watch/row_watcher.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::relay {

/**
 * A table whose rows one process reads from another one. Changes are sent only to a reader whose rows are exactly those
 * that the source had at an earlier position; any other reader gets the complete table.
 */
class RelayedTable {
public:
    /** @param watcher Must outlive the object, and must pass on its rows to recordRows. */
    RelayedTable(std::string name, watch::RowWatcher& watcher, TableCopy copy);

    [[nodiscard]] const std::string& name() const noexcept { return this->tableName; }
    [[nodiscard]] const watch::RowWatcher& watcher() const noexcept { return *this->rows; }
    [[nodiscard]] const TableCopy& copy() const noexcept { return this->ownCopy; }
    void setPaused(bool isPaused) noexcept { this->rows->setPaused(isPaused); }

    /**
     * Records rows that the watcher has reported, wherever they came from. Returns true if they contain a change for
     * readers.
     */
    bool recordRows(const std::vector<watch::RowChange>& rows, bool isSnapshot);

    /** Reader: what to ask a source. */
    [[nodiscard]] TableQuery query() const;
    /**
     * Reader: applies the answer to the query.
     * @param query The query as it was sent; changes are ignored if other rows were read since.
     * Returns false if the answer does not fit the query, or the complete table is needed.
     */
    [[nodiscard]] bool apply(
        const TableUpdate& update, const TableQuery& query, const watch::Confirmation& confirmation);

    /** Source: true if the answer to the query has rows. */
    [[nodiscard]] bool hasRowsFor(const TableQuery& query) const;
    /** Source: answer to the query. */
    [[nodiscard]] TableUpdate answer(const TableQuery& query) const;

private:
    std::string tableName;
    watch::RowWatcher* rows;
    TableCopy ownCopy;
    std::optional<CopyPosition> sourcePosition; ///< Position of the last update from a source.
    std::uint64_t revisionAtSource = 0; ///< Revision of the own copy after that update.

    /** Position of a source whose rows this process still has. */
    [[nodiscard]] std::optional<CopyPosition> currentSourcePosition() const;
};

} // namespace chivewinch::relay
