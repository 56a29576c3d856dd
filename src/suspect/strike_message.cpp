#include "suspect/strike_message.hpp"

#include "wire/cbor.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::suspect {

namespace internal {

using Json = nlohmann::json;

constexpr std::size_t maxTargetSize = 200;

// Upper bound of ages in messages. A greater age is an error of the sender and is shortened to this.
constexpr std::uint64_t maxAgeMs = 86'400'000;

Json toJson(const StrikeReport& report)
{
    return Json::array({ report.strike.fingerprint, report.strike.target,
        static_cast<std::uint64_t>(report.strike.incarnation), report.strike.crash,
        static_cast<std::uint64_t>(std::max<std::int64_t>(report.age.count(), 0)), report.cleared, report.trial });
}

StrikeReport parseReport(const Json& value)
{
    if (value.at(1).get_ref<const std::string&>().size() > maxTargetSize)
        throw std::out_of_range { "the name of the target is too long" };
    return { .strike = { .fingerprint = wire::parseUnsigned(value.at(0)),
                 .target = value.at(1).get<std::string>(),
                 .incarnation = base::Incarnation { wire::parseUnsigned(value.at(2)) },
                 .crash = wire::parseUnsigned(value.at(3)) },
        .age = std::chrono::milliseconds { std::min(wire::parseUnsigned(value.at(4)), maxAgeMs) },
        .cleared = value.at(5).get<bool>(),
        .trial = value.at(6).get<bool>() };
}

} // namespace internal

std::string encode(const StrikeMessage& message)
{
    auto strikes = internal::Json::array();
    for (const auto& report : message.strikes)
        strikes.push_back(internal::toJson(report));
    return wire::toCbor(internal::Json::array({ message.digest, message.wantsAll, std::move(strikes),
        message.trial ? internal::Json(*message.trial) : internal::Json(), message.returnsTrial, message.grantsTrial,
        message.completesTrial }));
}

std::optional<StrikeMessage> decodeStrikeMessage(const std::string& body)
{
    return wire::decodeCbor(body, [](const internal::Json& value) {
        StrikeMessage message { .digest = wire::parseUnsigned(value.at(0)), .wantsAll = value.at(1).get<bool>() };
        for (const auto& report : value.at(2))
            message.strikes.push_back(internal::parseReport(report));
        if (!value.at(3).is_null())
            message.trial = wire::parseUnsigned(value.at(3));
        message.returnsTrial = value.at(4).get<bool>();
        message.grantsTrial = value.at(5).get<bool>();
        // Processes of earlier versions do not send it.
        message.completesTrial = value.size() > 6 && value.at(6).get<bool>();
        return message;
    });
}

} // namespace chivewinch::suspect
