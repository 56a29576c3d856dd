#include "relay/codec.hpp"

#include "wire/cbor.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::relay {

namespace internal {

using Json = nlohmann::json;

// Upper bound of the wait. A longer wait is an error of the sender and is shortened to this.
constexpr std::uint64_t maxWaitMs = 60'000;

Json toJson(const TableUpdate& update)
{
    auto rows = Json::array();
    for (const auto& row : update.page.rows)
        rows.push_back(Json::array({ row.key, row.value ? Json(*row.value) : Json() }));
    return Json::array({ update.page.version, update.isSnapshot, std::move(rows) });
}

TableUpdate parseTableUpdate(const Json& value)
{
    TableUpdate update { .page = { .version = wire::parseUnsigned(value.at(0)) },
        .isSnapshot = value.at(1).get<bool>() };
    for (const auto& row : value.at(2)) {
        watch::RowChange change { .key = row.at(0).get<std::string>() };
        if (!row.at(1).is_null())
            change.value = row.at(1).get<std::string>();
        update.page.rows.push_back(std::move(change));
    }
    return update;
}

} // namespace internal

std::string encode(const RelayQuery& query)
{
    return wire::toCbor({ { "since", query.since }, { "wait", query.wait.count() } });
}

std::optional<RelayQuery> decodeQuery(const std::string& body)
{
    return wire::decodeCbor(body, [](const internal::Json& value) {
        RelayQuery query;
        for (const auto& [table, version] : value.at("since").items())
            query.since.emplace(table, wire::parseUnsigned(version));
        const auto wait = wire::parseUnsigned(value.at("wait"));
        query.wait = std::chrono::milliseconds { std::min(wait, internal::maxWaitMs) };
        return query;
    });
}

std::string encode(const RelayAnswer& answer)
{
    auto tables = internal::Json::object();
    for (const auto& [name, update] : answer.tables)
        tables[name] = internal::toJson(update);
    return wire::toCbor(tables);
}

std::optional<RelayAnswer> decodeAnswer(const std::string& body)
{
    return wire::decodeCbor(body, [](const internal::Json& value) {
        if (!value.is_object())
            throw std::out_of_range { "tables are not an object" };
        RelayAnswer answer;
        for (const auto& [name, update] : value.items())
            answer.tables.emplace(name, internal::parseTableUpdate(update));
        return answer;
    });
}

} // namespace chivewinch::relay
