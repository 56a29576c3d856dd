#include "relay/codec.hpp"

#include "wire/cbor.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::relay {

namespace internal {

using Json = nlohmann::json;

// Upper bound of the wait. A longer wait is an error of the sender and is shortened to this.
constexpr std::uint64_t maxWaitMs = 60'000;

// Keeps a duration within the range of its type.
constexpr std::uint64_t maxContactMs = std::chrono::milliseconds { std::chrono::hours { 24 * 365 } }.count();

Json toJson(const CopyPosition& position) { return Json::array({ position.copy, position.revision }); }

CopyPosition parsePosition(const Json& value)
{
    return { .copy = wire::parseUnsigned(value.at(0)), .revision = wire::parseUnsigned(value.at(1)) };
}

Json toJson(const TableQuery& query)
{
    return Json::array({ query.version, query.position ? toJson(*query.position) : Json() });
}

TableQuery parseTableQuery(const Json& value)
{
    TableQuery query { .version = wire::parseUnsigned(value.at(0)) };
    if (!value.at(1).is_null())
        query.position = parsePosition(value.at(1));
    return query;
}

UpdateKind parseKind(const Json& value)
{
    const auto kind = wire::parseUnsigned(value);
    if (kind > static_cast<std::uint64_t>(UpdateKind::Behind))
        throw std::out_of_range { "unknown kind of update" };
    return static_cast<UpdateKind>(kind);
}

Json toJson(const TableUpdate& update)
{
    auto rows = Json::array();
    for (const auto& row : update.page.rows)
        rows.push_back(Json::array({ row.key, row.value ? Json(*row.value) : Json() }));
    return Json::array({ static_cast<std::uint64_t>(update.kind), update.page.version, toJson(update.position),
        std::move(rows), update.age.count() });
}

std::chrono::milliseconds parseAge(const Json& value)
{
    const auto limit = unknownAge.count();
    if (value.is_number_unsigned())
        return std::chrono::milliseconds { std::min(value.get<std::uint64_t>(), static_cast<std::uint64_t>(limit)) };
    if (!value.is_number_integer())
        throw std::out_of_range { "the age is not an integer" };
    return std::chrono::milliseconds { std::max(value.get<std::int64_t>(), -limit) };
}

TableUpdate parseTableUpdate(const Json& value)
{
    TableUpdate update { .kind = parseKind(value.at(0)),
        .page = { .version = wire::parseUnsigned(value.at(1)) },
        .position = parsePosition(value.at(2)),
        .age = parseAge(value.at(4)) };
    for (const auto& row : value.at(3)) {
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
    auto tables = internal::Json::object();
    for (const auto& [name, table] : query.tables)
        tables[name] = internal::toJson(table);
    return wire::toCbor({ { "tables", std::move(tables) }, { "wait", query.wait.count() } });
}

std::optional<RelayQuery> decodeQuery(const std::string& body)
{
    return wire::decodeCbor(body, [](const internal::Json& value) {
        RelayQuery query;
        for (const auto& [name, table] : value.at("tables").items())
            query.tables.emplace(name, internal::parseTableQuery(table));
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

std::string encode(const ContactAnswer& answer) { return wire::toCbor({ { "contact", answer.contact.count() } }); }

std::optional<ContactAnswer> decodeContactAnswer(const std::string& body)
{
    return wire::decodeCbor(body, [](const internal::Json& value) {
        const auto contact = std::min(wire::parseUnsigned(value.at("contact")), internal::maxContactMs);
        return ContactAnswer { .contact = std::chrono::milliseconds { contact } };
    });
}

} // namespace chivewinch::relay
