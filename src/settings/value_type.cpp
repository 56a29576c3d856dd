#include "settings/value_type.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>
#include <utility>

namespace chivewinch::settings {

namespace internal {

template <typename Number> std::optional<Number> parseNumber(std::string_view text)
{
    Number value {};
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc {} || result.ptr != end)
        return std::nullopt;
    return value;
}

constexpr std::array<std::pair<std::string_view, std::int64_t>, 4> durationUnits { {
    { "ms", 1 },
    { "s", 1000 },
    { "m", 60'000 },
    { "h", 3'600'000 },
} };

// Keeps the product of count and unit within 64 bits.
constexpr std::int64_t maxDurationCount = 1'000'000'000;

std::string formatDuration(std::chrono::milliseconds value)
{
    const auto count = value.count();
    if (count % 1000 == 0)
        return std::to_string(count / 1000) + "s";
    return std::to_string(count) + "ms";
}

template <typename Number> std::string describeRange(std::string_view kind, Number min, Number max)
{
    std::ostringstream text;
    text << kind << " from " << min << " to " << max;
    return text.str();
}

std::string describeChoices(const std::vector<std::string>& names)
{
    std::string text = "one of ";
    for (std::size_t i = 0; i < names.size(); ++i)
        text += (i == 0 ? "" : ", ") + names[i];
    return text;
}

} // namespace internal

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto address = text.substr(0, colon);
    const bool isBracketed = address.starts_with('[') && address.ends_with(']');
    if (isBracketed)
        address = address.substr(1, address.size() - 2);
    const auto port = internal::parseNumber<std::uint16_t>(text.substr(colon + 1));
    boost::system::error_code error;
    const auto parsed = boost::asio::ip::make_address(std::string { address }, error);
    if (error || !port || parsed.is_v6() != isBracketed)
        return std::nullopt;
    return Endpoint { .address = std::string { address }, .port = *port };
}

bool isConnectable(const Endpoint& endpoint)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(endpoint.address, error);
    return !error && endpoint.port != 0 && !address.is_unspecified() && !address.is_multicast();
}

std::string toString(const Endpoint& endpoint)
{
    const bool isV6 = endpoint.address.find(':') != std::string::npos;
    return (isV6 ? "[" + endpoint.address + "]" : endpoint.address) + ":" + std::to_string(endpoint.port);
}

std::optional<std::chrono::milliseconds> parseDuration(std::string_view text)
{
    const auto digits = std::min(text.find_first_not_of("0123456789"), text.size());
    const auto count = internal::parseNumber<std::int64_t>(text.substr(0, digits));
    if (!count || *count > internal::maxDurationCount)
        return std::nullopt;
    for (const auto& [name, milliseconds] : internal::durationUnits) {
        if (text.substr(digits) == name)
            return std::chrono::milliseconds { *count * milliseconds };
    }
    return std::nullopt;
}

std::optional<std::int64_t> parseInteger(std::string_view text) { return internal::parseNumber<std::int64_t>(text); }

std::optional<double> parseReal(std::string_view text) { return internal::parseNumber<double>(text); }

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> items;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        if (comma > 0)
            items.emplace_back(text.substr(0, comma));
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return items;
}

ValueType ValueType::text()
{
    return { "text", [](std::string_view) { return true; } };
}

ValueType ValueType::integer(std::int64_t min, std::int64_t max)
{
    return { internal::describeRange("integer", min, max), [min, max](std::string_view value) {
                const auto parsed = parseInteger(value);
                return parsed && *parsed >= min && *parsed <= max;
            } };
}

ValueType ValueType::real(double min, double max)
{
    return { internal::describeRange("number", min, max), [min, max](std::string_view value) {
                const auto parsed = parseReal(value);
                return parsed && *parsed >= min && *parsed <= max;
            } };
}

ValueType ValueType::duration(std::chrono::milliseconds min, std::chrono::milliseconds max)
{
    return { "duration from " + internal::formatDuration(min) + " to " + internal::formatDuration(max)
            + " (units ms, s, m, h)",
        [min, max](std::string_view value) {
            const auto parsed = parseDuration(value);
            return parsed && *parsed >= min && *parsed <= max;
        } };
}

ValueType ValueType::endpoint()
{
    return { "IP address and port, e.g. 127.0.0.1:8080",
        [](std::string_view value) { return parseEndpoint(value).has_value(); } };
}

ValueType ValueType::endpointList()
{
    return { "IP addresses and ports between commas", [](std::string_view value) {
                const auto items = splitList(value);
                return std::ranges::all_of(items, [](const auto& item) { return parseEndpoint(item).has_value(); });
            } };
}

ValueType ValueType::choice(std::vector<std::string> names)
{
    auto accepted = internal::describeChoices(names);
    return { std::move(accepted),
        [names = std::move(names)](std::string_view value) { return std::ranges::find(names, value) != names.end(); } };
}

} // namespace chivewinch::settings
