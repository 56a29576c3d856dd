#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::settings {

/** TCP address: an IPv4 or IPv6 address and a port. */
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;
};

/** Parses "address:port", with brackets around an IPv6 address; nullopt unless the address is numeric. */
/** True if a connection can be opened to the endpoint: it has a port and the address of a single machine. */
[[nodiscard]] bool isConnectable(const Endpoint& endpoint);

[[nodiscard]] std::optional<Endpoint> parseEndpoint(std::string_view text);
[[nodiscard]] std::string toString(const Endpoint& endpoint);

/** Parses a number with a unit: "250ms", "3s", "10m" or "1h". */
[[nodiscard]] std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);
[[nodiscard]] std::optional<std::int64_t> parseInteger(std::string_view text);
[[nodiscard]] std::optional<double> parseReal(std::string_view text);

/** Splits a comma-separated list; empty items are left out. */
[[nodiscard]] std::vector<std::string> splitList(std::string_view text);

/** Type of a setting, which determines the accepted values. */
class ValueType {
public:
    ValueType(std::string accepted, std::function<bool(std::string_view)> check)
        : acceptedText { std::move(accepted) }
        , check { std::move(check) }
    {
    }

    [[nodiscard]] static ValueType text();
    [[nodiscard]] static ValueType integer(std::int64_t min, std::int64_t max);
    [[nodiscard]] static ValueType real(double min, double max);
    [[nodiscard]] static ValueType duration(std::chrono::milliseconds min, std::chrono::milliseconds max);
    [[nodiscard]] static ValueType endpoint();
    [[nodiscard]] static ValueType endpointList();
    [[nodiscard]] static ValueType choice(std::vector<std::string> names);

    [[nodiscard]] bool accepts(std::string_view value) const { return this->check(value); }
    /** Description of accepted values, for help texts and error messages. */
    [[nodiscard]] const std::string& accepted() const noexcept { return this->acceptedText; }

private:
    std::string acceptedText;
    std::function<bool(std::string_view)> check;
};

} // namespace chivewinch::settings
