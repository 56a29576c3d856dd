#include "relay/table_copy.hpp"

#include <algorithm>
#include <set>

namespace chivewinch::relay {

void TableCopy::put(const watch::RowChange& row, std::uint64_t version)
{
    const auto found = this->rows.find(row.key);
    if (found == this->rows.end()) {
        if (!row.value)
            return;
        this->rows.emplace(row.key, Row { .value = row.value, .changedAt = version });
        this->lastChangedVersion = std::max(this->lastChangedVersion, version);
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
    known.changedAt = version;
    this->lastChangedVersion = std::max(this->lastChangedVersion, version);
}

void TableCopy::replace(const std::vector<watch::RowChange>& whole, std::uint64_t version)
{
    std::set<std::string> listed;
    for (const auto& row : whole)
        listed.insert(row.key);
    for (const auto& [key, row] : this->rows) {
        if (!listed.contains(key))
            this->put({ .key = key, .value = std::nullopt }, version);
    }
    for (const auto& row : whole)
        this->put(row, version);
    if (!this->known)
        this->historyStart = version;
    this->known = true;
    this->pruneRemoved(version);
}

void TableCopy::change(const std::vector<watch::RowChange>& changed, std::uint64_t version)
{
    for (const auto& row : changed)
        this->put(row, version);
    this->pruneRemoved(version);
}

void TableCopy::pruneRemoved(std::uint64_t version)
{
    if (this->removed <= maxRemoved)
        return;
    std::erase_if(this->rows, [](const auto& item) { return !item.second.value; });
    this->removed = 0;
    this->historyStart = version;
}

std::optional<std::vector<watch::RowChange>> TableCopy::since(std::uint64_t version) const
{
    if (!this->known || version < this->historyStart)
        return std::nullopt;
    std::vector<watch::RowChange> changed;
    for (const auto& [key, row] : this->rows) {
        if (row.changedAt > version)
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
