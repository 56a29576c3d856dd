#include "relay/relayed_table.hpp"

#include <utility>

namespace chivewinch::relay {

RelayedTable::RelayedTable(std::string name, watch::RowWatcher& watcher, TableCopy copy)
    : tableName { std::move(name) }
    , rows { &watcher }
    , ownCopy { std::move(copy) }
{
}

bool RelayedTable::recordRows(const std::vector<watch::RowChange>& changed, bool isSnapshot)
{
    const auto before = this->ownCopy.changedAt();
    if (isSnapshot)
        this->ownCopy.replace(changed);
    else
        this->ownCopy.change(changed);
    return this->ownCopy.changedAt() != before;
}

std::optional<CopyPosition> RelayedTable::currentSourcePosition() const
{
    const bool isCurrent = this->rows->hasSnapshot() && this->ownCopy.position().revision == this->revisionAtSource;
    return isCurrent ? this->sourcePosition : std::nullopt;
}

TableQuery RelayedTable::query() const
{
    return { .version = this->rows->currentVersion(), .position = this->currentSourcePosition() };
}

bool RelayedTable::apply(const TableUpdate& update, const TableQuery& query, const watch::Confirmation& confirmation)
{
    if (update.kind == UpdateKind::Behind) {
        // The source is in contact with the store, but the version of this process stays. It is not confirmed: a store
        // that was restored from a copy has older versions as well.
        const watch::Page unchanged { .version = this->rows->currentVersion() };
        return update.page.rows.empty()
            && this->rows->applyRelayed(unchanged, false, { .source = confirmation.source, .at = std::nullopt });
    }
    const bool isSnapshot = update.kind == UpdateKind::Snapshot;
    if (!isSnapshot && !query.position)
        return false;
    // Rows that this process has read in the meantime may differ from those that the changes follow.
    if (!isSnapshot && query.position != this->currentSourcePosition())
        return true;
    if (update.page.version < this->rows->currentVersion())
        return true;
    if (!this->rows->applyRelayed(update.page, isSnapshot, confirmation))
        return false;
    this->sourcePosition = update.position;
    this->revisionAtSource = this->ownCopy.position().revision;
    return true;
}

bool RelayedTable::hasRowsFor(const TableQuery& query) const
{
    if (query.version > this->rows->currentVersion())
        return false;
    const bool hasPosition = query.position && this->ownCopy.covers(*query.position);
    return !hasPosition || this->ownCopy.changedAt() > query.position->revision;
}

TableUpdate RelayedTable::answer(const TableQuery& query) const
{
    TableUpdate update { .page = { .version = this->rows->currentVersion() }, .position = this->ownCopy.position() };
    if (query.version > update.page.version) {
        update.kind = UpdateKind::Behind;
        return update;
    }
    auto changed = query.position ? this->ownCopy.since(*query.position) : std::nullopt;
    update.kind = changed ? UpdateKind::Changes : UpdateKind::Snapshot;
    update.page.rows = changed ? std::move(*changed) : this->ownCopy.all();
    return update;
}

} // namespace chivewinch::relay
