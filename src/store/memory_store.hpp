#pragma once

#include "store/object_store.hpp"
#include "store/table_service.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace chivewinch::store {

/** Table service in memory, for the stand-in and for tests. Callbacks run before the call returns. */
class MemoryTableService final : public TableService {
public:
    void get(std::vector<RowKey> keys, GetCallback callback) override;
    void scan(std::string table, std::string prefix, std::size_t limit, GetCallback callback) override;
    void transact(Transaction transaction, TransactCallback callback) override;

    /** Returns the current row directly, without a callback. */
    [[nodiscard]] Row row(const RowKey& key) const;

private:
    std::map<RowKey, Row> rows;
    std::uint64_t lastVersion = absentVersion;
};

/** Object store in memory, for the stand-in and for tests. Callbacks run before the call returns. */
class MemoryObjectStore final : public ObjectStore {
public:
    void putIfAbsent(std::string name, std::string bytes, PutCallback callback) override;
    void get(std::string name, GetCallback callback) override;
    void list(std::string prefix, std::string startAfter, std::size_t limit, ListCallback callback) override;

    /** Replaces the bytes of an object, to simulate damage. */
    void overwrite(const std::string& name, std::string bytes) { this->objects[name] = std::move(bytes); }
    void remove(const std::string& name) { this->objects.erase(name); }
    [[nodiscard]] const std::map<std::string, std::string>& all() const noexcept { return this->objects; }

private:
    std::map<std::string, std::string> objects;
};

} // namespace chivewinch::store
