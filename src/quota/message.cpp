#include "quota/message.hpp"

#include "quota/request_limit.hpp"
#include "wire/cbor.hpp"

#include <algorithm>

namespace chivewinch::quota {

namespace internal {

using Json = nlohmann::json;

// Upper bound of times in messages. A longer time is an error of the sender and is shortened to this.
constexpr std::uint64_t maxTimeMs = 86'400'000;

constexpr std::uint64_t maxDemand = 1'000;

std::chrono::milliseconds parseTime(const Json& value)
{
    return std::chrono::milliseconds { std::min(wire::parseUnsigned(value), maxTimeMs) };
}

std::int64_t nonNegative(std::chrono::milliseconds time) { return std::max<std::int64_t>(time.count(), 0); }

Json toJson(const LimitReport& report)
{
    return Json::array(
        { report.target, static_cast<std::uint64_t>(report.incarnation), report.limit ? Json(*report.limit) : Json(),
            internal::nonNegative(report.sentAge), internal::nonNegative(report.observedAge) });
}

LimitReport parseReport(const Json& value)
{
    LimitReport report { .target = value.at(0).get<std::string>(),
        .incarnation = base::Incarnation { wire::parseUnsigned(value.at(1)) },
        .sentAge = parseTime(value.at(3)),
        .observedAge = parseTime(value.at(4)) };
    if (!value.at(2).is_null()) {
        report.limit = value.at(2).get<double>();
        if (!isValidRequestLimit(*report.limit))
            throw std::out_of_range { "request limit is out of range" };
    }
    return report;
}

} // namespace internal

std::string encode(const LimitQuery& query)
{
    auto items = internal::Json::array();
    for (const auto& item : query.items)
        items.push_back(internal::Json::array({ internal::toJson(item.report), item.demand }));
    return wire::toCbor(items);
}

std::optional<LimitQuery> decodeLimitQuery(const std::string& body)
{
    return wire::decodeCbor(body, [](const internal::Json& items) {
        LimitQuery query;
        for (const auto& item : items)
            query.items.push_back({ .report = internal::parseReport(item.at(0)),
                .demand = static_cast<std::uint32_t>(std::min(wire::parseUnsigned(item.at(1)), internal::maxDemand)) });
        return query;
    });
}

std::string encode(const LimitAnswer& answer)
{
    auto items = internal::Json::array();
    for (const auto& item : answer.items)
        items.push_back(internal::Json::array(
            { internal::toJson(item.report), item.hasPermit, internal::nonNegative(item.opensIn) }));
    return wire::toCbor(items);
}

std::optional<LimitAnswer> decodeLimitAnswer(const std::string& body)
{
    return wire::decodeCbor(body, [](const internal::Json& items) {
        LimitAnswer answer;
        for (const auto& item : items)
            answer.items.push_back({ .report = internal::parseReport(item.at(0)),
                .hasPermit = item.at(1).get<bool>(),
                .opensIn = internal::parseTime(item.at(2)) });
        return answer;
    });
}

} // namespace chivewinch::quota
