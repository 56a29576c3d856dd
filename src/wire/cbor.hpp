#pragma once

#include "wire/parse.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace chivewinch::wire {

[[nodiscard]] inline std::string toCbor(const nlohmann::json& value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

/** Parses and decodes a body; nullopt if it is not CBOR or does not have the structure that decode expects. */
template <typename Decode> [[nodiscard]] auto decodeCbor(const std::string& body, Decode decode)
{
    return decodeParsed(parseCbor(body), decode);
}

} // namespace chivewinch::wire
