#include "relay/table_copy.hpp"

#include <set>

namespace chivewinch::relay {

void TableCopy::put(const watch::RowChange& row)
{
    const auto revision = this->current.revision;
    const auto found = this->rows.find(row.key);
    if (found == this->rows.end()) {
        if (!row.value)
            return;
        this->rows.emplace(row.key, Row { .value = row.value, .changedAt = revision });
        this->lastChangedRevision = revision;
        return;
    }
    auto& known = found->second;
    const bool isEqual = known.value == row.value
        || (this->isEquivalent && known.value && row.value && this->isEquivalent(*known.value, *row.value));
    if (known.value && !row.value)
        ++this->removed;
    else if (!known.value && row.value)
        --this->removed;
    known.value = row.value;
    if (isEqual)
        return;
    known.changedAt = revision;
    this->lastChangedRevision = revision;
}

void TableCopy::replace(const std::vector<watch::RowChange>& whole)
{
    ++this->current.revision;
    std::set<std::string> listed;
    for (const auto& row : whole)
        listed.insert(row.key);
    for (const auto& [key, row] : this->rows) {
        if (!listed.contains(key))
            this->put({ .key = key, .value = std::nullopt });
    }
    for (const auto& row : whole)
        this->put(row);
    if (!this->known)
        this->historyStart = this->current.revision;
    this->known = true;
    this->pruneRemoved();
}

void TableCopy::change(const std::vector<watch::RowChange>& changed)
{
    ++this->current.revision;
    for (const auto& row : changed)
        this->put(row);
    this->pruneRemoved();
}

void TableCopy::pruneRemoved()
{
    if (this->removed <= maxRemoved)
        return;
    std::erase_if(this->rows, [](const auto& item) { return !item.second.value; });
    this->removed = 0;
    this->historyStart = this->current.revision;
}

bool TableCopy::covers(const CopyPosition& position) const noexcept
{
    return this->known && position.copy == this->current.copy && position.revision >= this->historyStart
        && position.revision <= this->current.revision;
}

std::optional<std::vector<watch::RowChange>> TableCopy::since(const CopyPosition& position) const
{
    if (!this->covers(position))
        return std::nullopt;
    std::vector<watch::RowChange> changed;
    for (const auto& [key, row] : this->rows) {
        if (row.changedAt > position.revision)
            changed.push_back({ .key = key, .value = row.value });
    }
    return changed;
}

std::vector<watch::RowChange> TableCopy::all() const
{
    std::vector<watch::RowChange> listed;
    for (const auto& [key, row] : this->rows) {
        if (row.value)
            listed.push_back({ .key = key, .value = row.value });
    }
    return listed;
}

} // namespace chivewinch::relay
