#pragma once

#include "http/client.hpp"
#include "store/object_store.hpp"
#include "store/table_service.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string>

namespace chivewinch::store_http {

/** The platform's table service over HTTP. Must be used only on its executor, which must be a strand. */
class HttpTableService final : public store::TableService {
public:
    HttpTableService(boost::asio::any_io_executor executor, http::ClientOptions options);

    void get(std::vector<store::RowKey> keys, GetCallback callback) override;
    void scan(std::string table, std::string prefix, std::size_t limit, GetCallback callback) override;
    void transact(store::Transaction transaction, TransactCallback callback) override;

private:
    boost::asio::any_io_executor executor;
    std::shared_ptr<http::Client> client;
};

/** The platform's object store over HTTP. Must be used only on its executor, which must be a strand. */
class HttpObjectStore final : public store::ObjectStore {
public:
    HttpObjectStore(boost::asio::any_io_executor executor, http::ClientOptions options);

    void putIfAbsent(std::string name, std::string bytes, PutCallback callback) override;
    void get(std::string name, GetCallback callback) override;
    void list(std::string prefix, std::string startAfter, std::size_t limit, ListCallback callback) override;

private:
    boost::asio::any_io_executor executor;
    std::shared_ptr<http::Client> client;
};

} // namespace chivewinch::store_http
