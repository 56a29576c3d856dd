#pragma once

#include "store/coalescer.hpp"
#include "store/table_service.hpp"

namespace chivewinch::store::internal {

/** Wraps a TableService and applies the deadlines, retries, budget, coalescing and re-reads of Client. */
class TableClient final : public TableService {
public:
    TableClient(TableService& next, std::shared_ptr<ClientCore> core);

    void get(std::vector<RowKey> keys, GetCallback callback) override;
    void scan(std::string table, std::string prefix, std::size_t limit, GetCallback callback) override;
    void transact(Transaction transaction, TransactCallback callback) override;

private:
    TableService& next;
    std::shared_ptr<ClientCore> core;
    std::shared_ptr<Coalescer<std::vector<Row>>> reads;
};

} // namespace chivewinch::store::internal
