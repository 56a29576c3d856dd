#include "group/codec.hpp"

#include "wire/cbor.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <stdexcept>
#include <utility>

namespace chivewinch::group {

namespace internal {

using Json = nlohmann::json;
using wire::parseUnsigned;

template <typename Enum> Enum parseEnum(const Json& value, Enum last)
{
    const auto number = parseUnsigned(value);
    if (number > static_cast<std::uint64_t>(last))
        throw std::out_of_range { "enumeration value is out of range" };
    return static_cast<Enum>(number);
}

std::optional<std::uint64_t> parseOptional(const Json& value)
{
    return value.is_null() ? std::nullopt : std::optional { parseUnsigned(value) };
}

Json toJson(const std::optional<std::uint64_t>& value) { return value ? Json(*value) : Json(); }

Json toJson(const Member& member)
{
    return Json::array({ member.id, member.endpoint.address, member.endpoint.port, member.epoch, member.rank });
}

Member parseMember(const Json& value)
{
    Member member { .id = value.at(0).get<std::string>(),
        .endpoint = { .address = value.at(1).get<std::string>(), .port = parseUnsigned<std::uint16_t>(value.at(2)) },
        .epoch = parseUnsigned(value.at(3)),
        .rank = parseUnsigned<std::uint32_t>(value.at(4)) };
    if (!settings::isConnectable(member.endpoint))
        throw std::out_of_range { "the address of the member is invalid" };
    return member;
}

Json toJson(const expert::MapOrder& order)
{
    return Json::array({ order.rank, order.kind, order.epoch, order.version, order.step });
}

expert::MapOrder parseOrder(const Json& value)
{
    return { .rank = parseUnsigned<std::uint32_t>(value.at(0)),
        .kind = parseEnum(value.at(1), expert::MapOrderKind::Disarm),
        .epoch = parseUnsigned(value.at(2)),
        .version = parseUnsigned(value.at(3)),
        .step = parseUnsigned(value.at(4)) };
}

Json toJson(const MemberReport& report)
{
    const auto& maps = report.maps;
    // A double takes 9 bytes in CBOR. The usual pace is 1, so it is sent as an integer.
    return Json::array({ report.group, report.rank, report.size, report.pace == 1 ? Json(1) : Json(report.pace),
        maps.epoch, maps.open, maps.step, maps.version, toJson(maps.prepared),
        maps.armed ? Json::array({ maps.armed->version, maps.armed->step }) : Json(), toJson(maps.held) });
}

MemberReport parseReport(const Json& value)
{
    const auto& armed = value.at(9);
    MemberReport report { .group = value.at(0).get<std::string>(),
        .rank = parseUnsigned<std::uint32_t>(value.at(1)),
        .size = parseUnsigned<std::uint32_t>(value.at(2)),
        .pace = value.at(3).get<double>(),
        .maps = { .epoch = parseUnsigned(value.at(4)),
            .open = value.at(5).get<bool>(),
            .step = parseUnsigned(value.at(6)),
            .version = parseUnsigned(value.at(7)),
            .prepared = parseOptional(value.at(8)),
            .armed = std::nullopt,
            .held = parseOptional(value.at(10)) } };
    if (!armed.is_null())
        report.maps.armed
            = expert::ArmedMap { .version = parseUnsigned(armed.at(0)), .step = parseUnsigned(armed.at(1)) };
    return report;
}

// Variable-length integers: groups of seven bits, lowest group first. Most numbers take one or two bytes; CBOR integers
// take three.
constexpr unsigned varintBits = 7;
constexpr std::uint8_t continuationBit = 1U << varintBits;

void append(std::vector<std::uint8_t>& bytes, std::uint32_t number)
{
    for (; number >= continuationBit; number >>= varintBits)
        bytes.push_back(static_cast<std::uint8_t>(number | continuationBit));
    bytes.push_back(static_cast<std::uint8_t>(number));
}

/** Reads consecutive variable-length integers. */
class VarintReader {
public:
    explicit VarintReader(const std::vector<std::uint8_t>& bytes)
        : bytes { bytes }
    {
    }

    [[nodiscard]] bool atEnd() const { return this->next == this->bytes.size(); }

    std::uint32_t read()
    {
        std::uint32_t number = 0;
        for (unsigned shift = 0; shift < 32; shift += varintBits) {
            const auto byte = this->bytes.at(this->next++);
            number |= static_cast<std::uint32_t>(byte & (continuationBit - 1U)) << shift;
            if (byte < continuationBit)
                return number;
        }
        throw std::out_of_range { "encoded number exceeds 32 bits" };
    }

    /** Reads a list of experts that is preceded by its length. */
    std::vector<std::uint16_t> readExperts()
    {
        std::vector<std::uint16_t> experts;
        for (auto count = this->read(); count > 0; --count)
            experts.push_back(this->readExpert());
        return experts;
    }

private:
    const std::vector<std::uint8_t>& bytes;
    std::size_t next = 0;

    std::uint16_t readExpert()
    {
        const auto expert = this->read();
        if (expert > std::numeric_limits<std::uint16_t>::max())
            throw std::out_of_range { "the number of an expert is too large" };
        return static_cast<std::uint16_t>(expert);
    }
};

Json toJson(const std::vector<PlacementChange>& changes)
{
    std::vector<std::uint8_t> bytes;
    const auto appendExperts = [&bytes](const std::vector<std::uint16_t>& experts) {
        append(bytes, static_cast<std::uint32_t>(experts.size()));
        for (const auto expert : experts)
            append(bytes, expert);
    };
    for (const auto& change : changes) {
        append(bytes, change.layer);
        append(bytes, change.rank);
        appendExperts(change.removed);
        appendExperts(change.added);
    }
    return Json::binary(std::move(bytes));
}

std::vector<PlacementChange> parseChanges(const Json& value)
{
    std::vector<PlacementChange> changes;
    VarintReader numbers { value.get_binary() };
    while (!numbers.atEnd()) {
        PlacementChange change { .layer = numbers.read(), .rank = numbers.read() };
        change.removed = numbers.readExperts();
        change.added = numbers.readExperts();
        changes.push_back(std::move(change));
    }
    return changes;
}

Json toJson(const MapUpdate& update)
{
    if (update.empty())
        return {};
    const auto& shape = update.initial;
    return Json::array({ update.version, update.base, Json::array({ shape.layers, shape.experts, shape.ranks }),
        toJson(update.changes), update.fullMap, update.digest });
}

GroupMap parseMap(const Json& value)
{
    GroupMap map;
    for (const auto& layer : value)
        map.push_back(parseLayers(layer));
    return map;
}

MapUpdate parseUpdate(const Json& value)
{
    if (value.is_null())
        return {};
    return { .version = parseUnsigned(value.at(0)),
        .base = parseUnsigned(value.at(1)),
        .initial = { .layers = parseUnsigned<std::uint32_t>(value.at(2).at(0)),
            .experts = parseUnsigned<std::uint32_t>(value.at(2).at(1)),
            .ranks = parseUnsigned<std::uint32_t>(value.at(2).at(2)) },
        .changes = parseChanges(value.at(3)),
        .fullMap = parseMap(value.at(4)),
        .digest = parseUnsigned(value.at(5)) };
}

// Each load is divided by the largest load, and the square root of the quotient is sent in one byte. The error is at
// most 0.4% of the largest load, far below the error of the counts themselves.
constexpr double maxLoadCode = 255;

/** The largest load, followed by one byte for each layer and expert. */
Json toJson(const std::vector<double>& loads)
{
    if (loads.empty())
        return {};
    const auto largest = std::max(*std::ranges::max_element(loads), 0.0);
    std::vector<std::uint8_t> codes;
    codes.reserve(loads.size());
    for (const auto load : loads) {
        const auto share = largest > 0 ? std::max(load, 0.0) / largest : 0.0;
        codes.push_back(static_cast<std::uint8_t>(std::lround(std::sqrt(share) * maxLoadCode)));
    }
    return Json::array({ largest, Json::binary(std::move(codes)) });
}

std::vector<double> parseLoads(const Json& value)
{
    std::vector<double> loads;
    if (value.is_null())
        return loads;
    const auto largest = value.at(0).get<double>();
    if (!std::isfinite(largest) || largest < 0)
        throw std::out_of_range { "largest load is negative or not finite" };
    for (const double code : value.at(1).get_binary())
        loads.push_back(code * code * largest / (maxLoadCode * maxLoadCode));
    return loads;
}

template <typename Items> Json toJsonArray(const Items& items)
{
    auto array = Json::array();
    for (const auto& item : items)
        array.push_back(toJson(item));
    return array;
}

template <typename Item, typename Decode> std::vector<Item> parseItems(const Json& value, Decode decode)
{
    std::vector<Item> items;
    for (const auto& item : value)
        items.push_back(decode(item));
    return items;
}

} // namespace internal

std::vector<std::vector<std::uint16_t>> parseLayers(const nlohmann::json& value)
{
    std::vector<std::vector<std::uint16_t>> layers;
    if (!value.is_array())
        throw std::out_of_range { "the layers are not an array" };
    for (const auto& layer : value) {
        if (!layer.is_array())
            throw std::out_of_range { "the experts of a layer are not an array" };
        auto& experts = layers.emplace_back();
        for (const auto& expert : layer)
            experts.push_back(wire::parseUnsigned<std::uint16_t>(expert));
    }
    return layers;
}

std::string encode(const RankQuery& query)
{
    return wire::toCbor(
        { { "group", query.group }, { "members", internal::toJsonArray(query.members) }, { "loads", query.wantsLoads },
            { "orders", internal::toJsonArray(query.orders) }, { "map", internal::toJson(query.map) } });
}

std::optional<RankQuery> decodeQuery(const std::string& body)
{
    return wire::decodeCbor(body, [](const internal::Json& value) {
        return RankQuery { .group = value.at("group").get<std::string>(),
            .members = internal::parseItems<Member>(value.at("members"), internal::parseMember),
            .wantsLoads = value.at("loads").get<bool>(),
            .orders = internal::parseItems<expert::MapOrder>(value.at("orders"), internal::parseOrder),
            .map = internal::parseUpdate(value.at("map")) };
    });
}

std::string encode(const RankAnswers& answers)
{
    auto reports = internal::Json::array();
    for (const auto& [rank, report] : answers.reports)
        reports.push_back(internal::toJson(report));
    auto replies = internal::Json::array();
    for (const auto& answer : answers.replies)
        replies.push_back(internal::Json::array({ internal::toJson(answer.order), answer.reply }));
    return wire::toCbor({ { "reports", std::move(reports) }, { "replies", std::move(replies) },
        { "loads", internal::toJson(answers.loads) } });
}

std::optional<RankAnswers> decodeAnswers(const std::string& body)
{
    return wire::decodeCbor(body, [](const internal::Json& value) {
        RankAnswers answers;
        for (auto& report : internal::parseItems<MemberReport>(value.at("reports"), internal::parseReport))
            answers.reports.emplace(report.rank, std::move(report));
        answers.replies = internal::parseItems<OrderAnswer>(value.at("replies"), [](const internal::Json& item) {
            return OrderAnswer { .order = internal::parseOrder(item.at(0)),
                .reply = internal::parseEnum(item.at(1), OrderReply::MapUnknown) };
        });
        answers.loads = internal::parseLoads(value.at("loads"));
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
    return wire::decodeParsed(wire::parseJson(body), [](const internal::Json& value) {
        return RankExperts { .epoch = wire::parseUnsigned(value.at("epoch")),
            .version = wire::parseUnsigned(value.at("version")),
            .layers = parseLayers(value.at("layers")) };
    });
}

} // namespace chivewinch::group
