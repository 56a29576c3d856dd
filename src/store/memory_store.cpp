#include "store/memory_store.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::store {

Row MemoryTableService::row(const RowKey& key) const
{
    const auto found = this->rows.find(key);
    return found == this->rows.end() ? Row { .key = key } : found->second;
}

void MemoryTableService::get(std::vector<RowKey> keys, GetCallback callback)
{
    std::vector<Row> result;
    result.reserve(keys.size());
    for (const auto& key : keys)
        result.push_back(this->row(key));
    callback(std::move(result), {});
}

void MemoryTableService::scan(std::string table, std::string prefix, std::size_t limit, GetCallback callback)
{
    std::vector<Row> result;
    for (auto it = this->rows.lower_bound({ .table = table, .key = prefix }); it != this->rows.end(); ++it) {
        if (result.size() == limit || it->first.table != table || !it->first.key.starts_with(prefix))
            break;
        result.push_back(it->second);
    }
    callback(std::move(result), {});
}

void MemoryTableService::transact(Transaction transaction, TransactCallback callback)
{
    TransactResult result;
    for (const auto& condition : transaction.conditions) {
        auto current = this->row(condition.key);
        if (current.version != condition.version)
            result.rows.push_back(std::move(current));
    }
    if (!result.rows.empty()) {
        callback(std::move(result), {});
        return;
    }
    result.committed = true;
    ++this->lastVersion;
    for (auto& write : transaction.writes) {
        if (!write.value) {
            this->rows.erase(write.key);
            result.rows.push_back({ .key = std::move(write.key) });
            continue;
        }
        Row row { .key = write.key, .value = std::move(*write.value), .version = this->lastVersion };
        result.rows.push_back(row);
        this->rows.insert_or_assign(std::move(write.key), std::move(row));
    }
    callback(std::move(result), {});
}

void MemoryObjectStore::putIfAbsent(std::string name, std::string bytes, PutCallback callback)
{
    const auto inserted = this->objects.try_emplace(std::move(name), std::move(bytes)).second;
    callback(inserted ? PutResult::Created : PutResult::Exists, {});
}

void MemoryObjectStore::get(std::string name, GetCallback callback)
{
    const auto found = this->objects.find(name);
    std::optional<std::string> bytes;
    if (found != this->objects.end())
        bytes = found->second;
    callback(std::optional { std::move(bytes) }, {});
}

void MemoryObjectStore::list(std::string prefix, std::string startAfter, std::size_t limit, ListCallback callback)
{
    std::vector<std::string> names;
    auto it = this->objects.lower_bound(prefix);
    if (startAfter >= prefix)
        it = this->objects.upper_bound(startAfter);
    for (; it != this->objects.end() && names.size() < limit && it->first.starts_with(prefix); ++it)
        names.push_back(it->first);
    callback(std::move(names), {});
}

} // namespace chivewinch::store
