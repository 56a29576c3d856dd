#include "relay/codec.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace chivewinch::relay {

namespace internal {

using Json = nlohmann::json;

// Upper bound of the wait. A longer wait is an error of the sender and is shortened to this.
constexpr std::uint64_t maxWaitMs = 60'000;

std::string toCbor(const Json& value)
{
    std::string bytes;
    Json::to_cbor(value, bytes);
    return bytes;
}

std::uint64_t parseUnsigned(const Json& value)
{
    if (!value.is_number_unsigned())
        throw std::out_of_range { "value is not an unsigned number" };
    return value.get<std::uint64_t>();
}

Json toJson(const TableUpdate& update)
{
    auto rows = Json::array();
    for (const auto& row : update.page.rows)
        rows.push_back(Json::array({ row.key, row.value ? Json(*row.value) : Json() }));
    return Json::array({ update.page.version, update.isSnapshot, std::move(rows) });
}

TableUpdate parseTableUpdate(const Json& value)
{
    TableUpdate update { .page = { .version = parseUnsigned(value.at(0)) }, .isSnapshot = value.at(1).get<bool>() };
    for (const auto& row : value.at(2)) {
        watch::RowChange change { .key = row.at(0).get<std::string>() };
        if (!row.at(1).is_null())
            change.value = row.at(1).get<std::string>();
        update.page.rows.push_back(std::move(change));
    }
    return update;
}

template <typename Decode>
auto decodeCbor(const std::string& body, Decode decode) -> std::optional<decltype(decode(std::declval<const Json&>()))>
{
    try {
        return decode(Json::from_cbor(body));
    } catch (const Json::exception&) {
        return std::nullopt;
    } catch (const std::out_of_range&) {
        return std::nullopt;
    }
}

} // namespace internal

std::string encode(const RelayQuery& query)
{
    return internal::toCbor({ { "since", query.since }, { "wait", query.wait.count() } });
}

std::optional<RelayQuery> decodeQuery(const std::string& body)
{
    return internal::decodeCbor(body, [](const internal::Json& value) {
        RelayQuery query;
        for (const auto& [table, version] : value.at("since").items())
            query.since.emplace(table, internal::parseUnsigned(version));
        const auto wait = internal::parseUnsigned(value.at("wait"));
        query.wait = std::chrono::milliseconds { std::min(wait, internal::maxWaitMs) };
        return query;
    });
}

std::string encode(const RelayAnswer& answer)
{
    auto tables = internal::Json::object();
    for (const auto& [name, update] : answer.tables)
        tables[name] = internal::toJson(update);
    return internal::toCbor(tables);
}

std::optional<RelayAnswer> decodeAnswer(const std::string& body)
{
    return internal::decodeCbor(body, [](const internal::Json& value) {
        if (!value.is_object())
            throw std::out_of_range { "tables are not an object" };
        RelayAnswer answer;
        for (const auto& [name, update] : value.items())
            answer.tables.emplace(name, internal::parseTableUpdate(update));
        return answer;
    });
}

} // namespace chivewinch::relay
