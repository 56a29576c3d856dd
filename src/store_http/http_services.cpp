#include "store_http/http_services.hpp"

#include "http/query.hpp"
#include "http/status.hpp"
#include "store_http/codec.hpp"
#include "wire/parse.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <utility>

namespace chivewinch::store_http {

namespace asio = boost::asio;

namespace internal {

constexpr unsigned statusCreated = 201;
constexpr unsigned statusPreconditionFailed = 412;

using Finish = std::function<void(const std::optional<http::Response>&, const http::Error&)>;

/** Sends one request and calls finish with its answer. Parameters are passed by value, to outlive the caller. */
http::Task<void> exchange(std::shared_ptr<http::Client> client, http::Request request, Finish finish)
{
    http::Error reason;
    const http::SendOptions options;
    const auto response = co_await client->send(std::move(request), options, reason);
    finish(response, reason);
}

void start(
    const asio::any_io_executor& executor, std::shared_ptr<http::Client> client, http::Request request, Finish finish)
{
    asio::co_spawn(executor, exchange(std::move(client), std::move(request), std::move(finish)), asio::detached);
}

/** Returns the store error of a failed exchange. A write that may have arrived is ambiguous; a read has timed out. */
store::Error toStoreError(const std::optional<http::Response>& response, const http::Error& reason, bool isWrite)
{
    if (response && response->status == http::status::unavailable)
        return { .code = store::ErrorCode::Unavailable, .detail = "service answered 503" };
    if (response)
        return { .code = store::ErrorCode::Invalid, .detail = "service answered " + std::to_string(response->status) };
    if (reason.code == http::ErrorCode::NotSent)
        return { .code = store::ErrorCode::Unavailable, .detail = reason.detail };
    return { .code = isWrite ? store::ErrorCode::Ambiguous : store::ErrorCode::TimedOut, .detail = reason.detail };
}

/** Returns a callback that decodes an answer with status 200 and reports any other status as an error. */
template <typename Callback, typename Decode> Finish decodeWith(Callback callback, Decode decode, bool isWrite)
{
    return [callback = std::move(callback), decode, isWrite](const auto& response, const http::Error& reason) {
        if (!response || response->status != http::status::ok) {
            callback(std::nullopt, toStoreError(response, reason, isWrite));
            return;
        }
        auto value = decode(response->body);
        store::Error error;
        if (!value)
            error = { .code = isWrite ? store::ErrorCode::Ambiguous : store::ErrorCode::Invalid,
                .detail = "answer is malformed" };
        callback(std::move(value), error);
    };
}

std::string objectPath(const std::string& name)
{
    // Slashes separate the parts of a name and are not encoded.
    return "/objects/" + boost::urls::encode(name, boost::urls::unreserved_chars + '/');
}

std::optional<std::vector<std::string>> decodeNames(const std::string& body)
{
    const auto value = wire::parseJson(body);
    if (!value.is_array())
        return std::nullopt;
    std::vector<std::string> names;
    for (const auto& name : value) {
        if (!name.is_string())
            return std::nullopt;
        names.push_back(name.get<std::string>());
    }
    return names;
}

} // namespace internal

HttpTableService::HttpTableService(asio::any_io_executor executor, http::ClientOptions options)
    : executor { executor }
    , client { std::make_shared<http::Client>(std::move(executor), std::move(options)) }
{
}

void HttpTableService::get(std::vector<store::RowKey> keys, GetCallback callback)
{
    internal::start(this->executor, this->client,
        http::makeRequest("POST", "/tables/get", encodeKeys(keys), tableContentType),
        internal::decodeWith(std::move(callback), decodeRows, false));
}

void HttpTableService::scan(std::string table, std::string prefix, std::size_t limit, GetCallback callback)
{
    const ScanRequest scan { .table = std::move(table), .prefix = std::move(prefix), .limit = limit };
    internal::start(this->executor, this->client,
        http::makeRequest("POST", "/tables/scan", encodeScan(scan), tableContentType),
        internal::decodeWith(std::move(callback), decodeRows, false));
}

void HttpTableService::transact(store::Transaction transaction, TransactCallback callback)
{
    internal::start(this->executor, this->client,
        http::makeRequest("POST", "/tables/transact", encodeTransaction(transaction), tableContentType),
        internal::decodeWith(std::move(callback), decodeResult, true));
}

HttpObjectStore::HttpObjectStore(asio::any_io_executor executor, http::ClientOptions options)
    : executor { executor }
    , client { std::make_shared<http::Client>(std::move(executor), std::move(options)) }
{
}

void HttpObjectStore::putIfAbsent(std::string name, std::string bytes, PutCallback callback)
{
    auto request = http::makeRequest("PUT", internal::objectPath(name), std::move(bytes), "application/octet-stream");
    request.set(boost::beast::http::field::if_none_match, "*");
    internal::start(this->executor, this->client, std::move(request),
        [callback = std::move(callback)](const auto& response, const http::Error& reason) {
            if (response && response->status == internal::statusCreated)
                callback(store::PutResult::Created, {});
            else if (response && response->status == internal::statusPreconditionFailed)
                callback(store::PutResult::Exists, {});
            else
                callback(std::nullopt, internal::toStoreError(response, reason, true));
        });
}

void HttpObjectStore::get(std::string name, GetCallback callback)
{
    internal::start(this->executor, this->client, http::makeRequest("GET", internal::objectPath(name)),
        [callback = std::move(callback)](const auto& response, const http::Error& reason) {
            if (response && response->status == http::status::ok)
                callback(std::optional<std::string> { response->body }, {});
            else if (response && response->status == http::status::notFound)
                callback(std::optional<std::string> {}, {});
            else
                callback(std::nullopt, internal::toStoreError(response, reason, false));
        });
}

void HttpObjectStore::list(std::string prefix, std::string startAfter, std::size_t limit, ListCallback callback)
{
    const auto target = "/objects?prefix=" + http::encodeQueryValue(prefix)
        + "&start-after=" + http::encodeQueryValue(startAfter) + "&max-keys=" + std::to_string(limit);
    internal::start(this->executor, this->client, http::makeRequest("GET", target),
        internal::decodeWith(std::move(callback), internal::decodeNames, false));
}

} // namespace chivewinch::store_http
