#pragma once

#include "store/error.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::store {

/** Version of a row that does not exist. */
inline constexpr std::uint64_t absentVersion = 0;

struct RowKey {
    std::string table;
    std::string key;

    auto operator<=>(const RowKey&) const = default;
};

/** A row. An absent row has version absentVersion and an empty value. */
struct Row {
    RowKey key;
    std::string value;
    std::uint64_t version = absentVersion;

    bool operator==(const Row&) const = default;
};

/** Requires a row to have exactly this version; absentVersion requires that it does not exist. */
struct Condition {
    RowKey key;
    std::uint64_t version = absentVersion;

    bool operator==(const Condition&) const = default;
};

/** Sets a row, or removes it if value is nullopt. */
struct Write {
    RowKey key;
    std::optional<std::string> value;

    bool operator==(const Write&) const = default;
};

/** All writes take effect if all conditions hold. Otherwise none of them does. */
struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Write> writes;

    bool operator==(const Transaction&) const = default;
};

/** Answer of the service to a transaction. */
struct TransactResult {
    bool committed = false;
    /** The written rows if committed, otherwise the current rows whose conditions failed. */
    std::vector<Row> rows;

    bool operator==(const TransactResult&) const = default;
};

/** The platform's transactional table service. Callbacks run exactly once, possibly before the call returns. */
class TableService {
public:
    using GetCallback = std::function<void(std::optional<std::vector<Row>>, const Error&)>;
    using TransactCallback = std::function<void(std::optional<TransactResult>, const Error&)>;

    TableService() = default;
    TableService(const TableService&) = delete;
    TableService& operator=(const TableService&) = delete;
    virtual ~TableService() = default;

    /** Reads rows. The result is in the order of the keys. */
    virtual void get(std::vector<RowKey> keys, GetCallback callback) = 0;

    /** Reads up to limit rows of a table whose keys start with the prefix, in key order. */
    virtual void scan(std::string table, std::string prefix, std::size_t limit, GetCallback callback) = 0;

    virtual void transact(Transaction transaction, TransactCallback callback) = 0;
};

} // namespace chivewinch::store
