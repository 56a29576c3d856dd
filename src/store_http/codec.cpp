#include "store_http/codec.hpp"

#include "wire/parse.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace chivewinch::store_http {

namespace internal {

using Json = nlohmann::json;

Json binary(const std::string& bytes) { return Json::binary({ bytes.begin(), bytes.end() }); }

std::string bytesOf(const Json& value)
{
    const auto& bytes = value.get_binary();
    return { bytes.begin(), bytes.end() };
}

Json keyJson(const store::RowKey& key) { return Json::array({ key.table, key.key }); }

store::RowKey keyOf(const Json& value)
{
    return { .table = value.at(0).get<std::string>(), .key = value.at(1).get<std::string>() };
}

Json rowJson(const store::Row& row)
{
    return { { "key", keyJson(row.key) }, { "value", binary(row.value) }, { "version", row.version } };
}

store::Row rowOf(const Json& value)
{
    return { .key = keyOf(value.at("key")),
        .value = bytesOf(value.at("value")),
        .version = value.at("version").get<std::uint64_t>() };
}

std::string pack(const Json& value)
{
    std::string bytes;
    Json::to_cbor(value, bytes);
    return bytes;
}

/** Returns the result of decode, or nullopt if the bytes are not CBOR with the expected structure. */
template <typename Decode>
auto unpack(std::string_view bytes, Decode decode) -> std::optional<decltype(decode(std::declval<const Json&>()))>
{
    return wire::decodeParsed(wire::parseCbor(bytes), decode);
}

template <typename Item, typename Encode> Json arrayOf(const std::vector<Item>& items, Encode encode)
{
    auto array = Json::array();
    for (const auto& item : items)
        array.push_back(encode(item));
    return array;
}

template <typename Decode> auto listOf(const Json& array, Decode decode) -> std::vector<decltype(decode(array))>
{
    std::vector<decltype(decode(array))> items;
    items.reserve(array.size());
    for (const auto& item : array)
        items.push_back(decode(item));
    return items;
}

Json conditionJson(const store::Condition& condition)
{
    return { { "key", keyJson(condition.key) }, { "version", condition.version } };
}

store::Condition conditionOf(const Json& value)
{
    return { .key = keyOf(value.at("key")), .version = value.at("version").get<std::uint64_t>() };
}

Json writeJson(const store::Write& write)
{
    return { { "key", keyJson(write.key) }, { "value", write.value ? binary(*write.value) : Json {} } };
}

store::Write writeOf(const Json& value)
{
    store::Write write { .key = keyOf(value.at("key")) };
    if (!value.at("value").is_null())
        write.value = bytesOf(value.at("value"));
    return write;
}

} // namespace internal

std::string encodeKeys(const std::vector<store::RowKey>& keys)
{
    return internal::pack(internal::arrayOf(keys, internal::keyJson));
}

std::optional<std::vector<store::RowKey>> decodeKeys(std::string_view bytes)
{
    return internal::unpack(bytes, [](const auto& value) { return internal::listOf(value, internal::keyOf); });
}

std::string encodeScan(const ScanRequest& request)
{
    return internal::pack({ { "table", request.table }, { "prefix", request.prefix }, { "limit", request.limit } });
}

std::optional<ScanRequest> decodeScan(std::string_view bytes)
{
    return internal::unpack(bytes, [](const internal::Json& value) {
        return ScanRequest { .table = value.at("table").get<std::string>(),
            .prefix = value.at("prefix").get<std::string>(),
            .limit = value.at("limit").get<std::size_t>() };
    });
}

std::string encodeTransaction(const store::Transaction& transaction)
{
    return internal::pack({ { "conditions", internal::arrayOf(transaction.conditions, internal::conditionJson) },
        { "writes", internal::arrayOf(transaction.writes, internal::writeJson) } });
}

std::optional<store::Transaction> decodeTransaction(std::string_view bytes)
{
    return internal::unpack(bytes, [](const internal::Json& value) {
        return store::Transaction { .conditions = internal::listOf(value.at("conditions"), internal::conditionOf),
            .writes = internal::listOf(value.at("writes"), internal::writeOf) };
    });
}

std::string encodeRows(const std::vector<store::Row>& rows)
{
    return internal::pack(internal::arrayOf(rows, internal::rowJson));
}

std::optional<std::vector<store::Row>> decodeRows(std::string_view bytes)
{
    return internal::unpack(bytes, [](const auto& value) { return internal::listOf(value, internal::rowOf); });
}

std::string encodeResult(const store::TransactResult& result)
{
    return internal::pack(
        { { "committed", result.committed }, { "rows", internal::arrayOf(result.rows, internal::rowJson) } });
}

std::optional<store::TransactResult> decodeResult(std::string_view bytes)
{
    return internal::unpack(bytes, [](const internal::Json& value) {
        return store::TransactResult { .committed = value.at("committed").get<bool>(),
            .rows = internal::listOf(value.at("rows"), internal::rowOf) };
    });
}

} // namespace chivewinch::store_http
