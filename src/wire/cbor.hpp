#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace chivewinch::wire {

[[nodiscard]] inline std::string toCbor(const nlohmann::json& value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

/** Throws std::out_of_range unless the value is an unsigned number. */
[[nodiscard]] inline std::uint64_t parseUnsigned(const nlohmann::json& value)
{
    if (!value.is_number_unsigned())
        throw std::out_of_range { "value is not an unsigned number" };
    return value.get<std::uint64_t>();
}

/** Parses and decodes a body; nullopt if it is not CBOR or does not have the structure that decode expects. */
template <typename Decode>
[[nodiscard]] auto decodeCbor(const std::string& body, Decode decode)
    -> std::optional<decltype(decode(std::declval<const nlohmann::json&>()))>
{
    try {
        return decode(nlohmann::json::from_cbor(body));
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    } catch (const std::out_of_range&) {
        return std::nullopt;
    }
}

} // namespace chivewinch::wire
