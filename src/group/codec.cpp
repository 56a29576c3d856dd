#include "group/codec.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <stdexcept>
#include <utility>

namespace chivewinch::group {

namespace internal {

using Json = nlohmann::json;

/** The decoded value; nullopt if the body is not of the format or the value not of the expected shape. */
template <typename Parse, typename Decode>
auto decodeWith(Parse parse, Decode decode) -> std::optional<decltype(decode(std::declval<const Json&>()))>
{
    try {
        return decode(parse());
    } catch (const Json::exception&) {
        return std::nullopt;
    } catch (const std::out_of_range&) {
        return std::nullopt;
    }
}

template <typename Decode> auto decodeCbor(const std::string& body, Decode decode)
{
    return decodeWith([&body] { return Json::from_cbor(body); }, decode);
}

template <typename Decode> auto decodeJson(const std::string& body, Decode decode)
{
    return decodeWith([&body] { return Json::parse(body); }, decode);
}

std::string cborOf(const Json& value)
{
    std::string bytes;
    Json::to_cbor(value, bytes);
    return bytes;
}

template <typename Enum> Enum enumOf(const Json& value, Enum last)
{
    const auto number = value.get<std::uint64_t>();
    if (number > static_cast<std::uint64_t>(last))
        throw std::out_of_range { "value of an enumeration" };
    return static_cast<Enum>(number);
}

std::uint64_t unsignedOf(const Json& value)
{
    if (!value.is_number_unsigned())
        throw std::out_of_range { "unsigned number" };
    return value.get<std::uint64_t>();
}

std::optional<std::uint64_t> optionalOf(const Json& value)
{
    return value.is_null() ? std::nullopt : std::optional { unsignedOf(value) };
}

Json jsonOf(const std::optional<std::uint64_t>& value) { return value ? Json(*value) : Json(); }

Json jsonOf(const Member& member)
{
    return Json::array({ member.id, member.endpoint.address, member.endpoint.port, member.epoch, member.rank });
}

Member memberOf(const Json& value)
{
    return { .id = value.at(0).get<std::string>(),
        .endpoint = { .address = value.at(1).get<std::string>(), .port = value.at(2).get<std::uint16_t>() },
        .epoch = unsignedOf(value.at(3)),
        .rank = value.at(4).get<std::uint32_t>() };
}

Json jsonOf(const expert::MapOrder& order)
{
    return Json::array({ order.rank, order.kind, order.epoch, order.version, order.step });
}

expert::MapOrder orderOf(const Json& value)
{
    return { .rank = value.at(0).get<std::uint32_t>(),
        .kind = enumOf(value.at(1), expert::MapOrderKind::Release),
        .epoch = unsignedOf(value.at(2)),
        .version = unsignedOf(value.at(3)),
        .step = unsignedOf(value.at(4)) };
}

Json jsonOf(const MemberReport& report)
{
    const auto& maps = report.maps;
    return { { "group", report.group }, { "rank", report.rank }, { "size", report.size }, { "pace", report.pace },
        { "epoch", maps.epoch }, { "open", maps.open }, { "step", maps.step }, { "version", maps.version },
        { "prepared", jsonOf(maps.prepared) },
        { "armed", maps.armed ? Json::array({ maps.armed->version, maps.armed->step }) : Json() },
        { "held", jsonOf(maps.held) } };
}

MemberReport reportOf(const Json& value)
{
    const auto& armed = value.at("armed");
    MemberReport report { .group = value.at("group").get<std::string>(),
        .rank = value.at("rank").get<std::uint32_t>(),
        .size = value.at("size").get<std::uint32_t>(),
        .pace = value.at("pace").get<double>(),
        .maps = { .epoch = unsignedOf(value.at("epoch")),
            .open = value.at("open").get<bool>(),
            .step = unsignedOf(value.at("step")),
            .version = unsignedOf(value.at("version")),
            .prepared = optionalOf(value.at("prepared")),
            .armed = std::nullopt,
            .held = optionalOf(value.at("held")) } };
    if (!armed.is_null())
        report.maps.armed = expert::ArmedMap { .version = unsignedOf(armed.at(0)), .step = unsignedOf(armed.at(1)) };
    return report;
}

template <typename Items> Json arrayOf(const Items& items)
{
    auto array = Json::array();
    for (const auto& item : items)
        array.push_back(jsonOf(item));
    return array;
}

template <typename Item, typename Decode> std::vector<Item> itemsOf(const Json& value, Decode decode)
{
    std::vector<Item> items;
    for (const auto& item : value)
        items.push_back(decode(item));
    return items;
}

} // namespace internal

std::string encode(const RankQuery& query)
{
    return internal::cborOf({ { "group", query.group }, { "members", internal::arrayOf(query.members) },
        { "loads", query.wantsLoads }, { "orders", internal::arrayOf(query.orders) }, { "map", query.map } });
}

std::optional<RankQuery> decodeQuery(const std::string& body)
{
    return internal::decodeCbor(body, [](const internal::Json& value) {
        return RankQuery { .group = value.at("group").get<std::string>(),
            .members = internal::itemsOf<Member>(value.at("members"), internal::memberOf),
            .wantsLoads = value.at("loads").get<bool>(),
            .orders = internal::itemsOf<expert::MapOrder>(value.at("orders"), internal::orderOf),
            .map = value.at("map").get<GroupMap>() };
    });
}

std::string encode(const RankAnswers& answers)
{
    auto reports = internal::Json::array();
    for (const auto& [rank, report] : answers.reports)
        reports.push_back(internal::jsonOf(report));
    auto replies = internal::Json::array();
    for (const auto& answer : answers.replies)
        replies.push_back(internal::Json::array({ internal::jsonOf(answer.order), answer.reply }));
    auto loads = internal::Json::array();
    for (const auto load : answers.loads)
        loads.push_back(static_cast<std::uint64_t>(std::llround(load)));
    return internal::cborOf(
        { { "reports", std::move(reports) }, { "replies", std::move(replies) }, { "loads", std::move(loads) } });
}

std::optional<RankAnswers> decodeAnswers(const std::string& body)
{
    return internal::decodeCbor(body, [](const internal::Json& value) {
        RankAnswers answers;
        for (auto& report : internal::itemsOf<MemberReport>(value.at("reports"), internal::reportOf))
            answers.reports.emplace(report.rank, std::move(report));
        answers.replies = internal::itemsOf<OrderAnswer>(value.at("replies"), [](const internal::Json& item) {
            return OrderAnswer { .order = internal::orderOf(item.at(0)),
                .reply = internal::enumOf(item.at(1), OrderReply::Done) };
        });
        answers.loads = internal::itemsOf<double>(value.at("loads"),
            [](const internal::Json& load) { return static_cast<double>(internal::unsignedOf(load)); });
        return answers;
    });
}

std::string encode(const RankExperts& experts)
{
    return internal::Json {
        { "epoch", experts.epoch }, { "version", experts.version }, { "layers", experts.layers }
    }.dump();
}

std::optional<RankExperts> decodeExperts(const std::string& body)
{
    return internal::decodeJson(body, [](const internal::Json& value) {
        return RankExperts { .epoch = value.at("epoch").get<std::uint64_t>(),
            .version = value.at("version").get<std::uint64_t>(),
            .layers = value.at("layers").get<std::vector<std::vector<std::uint16_t>>>() };
    });
}

} // namespace chivewinch::group
