#include "bundle/schema.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <array>

namespace chivewinch::bundle {

namespace internal {

bool isIdCharacter(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
        || c == '.' || c == ':';
}

bool isId(std::string_view text) noexcept { return !text.empty() && std::ranges::all_of(text, isIdCharacter); }

bool isHex(std::string_view text) noexcept
{
    return std::ranges::all_of(text, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool isPrintable(std::string_view text)
{
    if (std::ranges::any_of(text, [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; }))
        return false;
    try {
        (void)nlohmann::json(text).dump();
        return true;
    } catch (const nlohmann::json::type_error&) {
        return false; // not UTF-8
    }
}

bool isAddress(std::string_view text)
{
    const std::string copy { text };
    std::array<unsigned char, sizeof(in6_addr)> bytes {};
    return ::inet_pton(AF_INET, copy.c_str(), bytes.data()) == 1
        || ::inet_pton(AF_INET6, copy.c_str(), bytes.data()) == 1;
}

bool isCall(std::string_view text) noexcept
{
    const auto space = text.find(' ');
    if (space == std::string_view::npos || space == 0)
        return false;
    const auto method = text.substr(0, space);
    const auto path = text.substr(space + 1);
    const bool upperCase = std::ranges::all_of(method, [](char c) { return c >= 'A' && c <= 'Z'; });
    const bool plain = path.find_first_of(" ?#%") == std::string_view::npos;
    return (upperCase || method == "*") && path.starts_with('/') && plain;
}

} // namespace internal

bool matchesRule(TextRule rule, std::string_view text)
{
    switch (rule) {
    case TextRule::None:
        return true;
    case TextRule::Id:
        return internal::isId(text);
    case TextRule::OptionalId:
        return text.empty() || internal::isId(text);
    case TextRule::Text:
        return internal::isPrintable(text);
    case TextRule::Hex256:
        return text.size() == 64 && internal::isHex(text);
    case TextRule::Address:
        return internal::isAddress(text);
    case TextRule::Call:
        return internal::isCall(text);
    case TextRule::IdOrAll:
        return text == "*" || internal::isId(text);
    }
    return false;
}

std::string_view describe(TextRule rule) noexcept
{
    constexpr std::array<std::string_view, 8> texts { "any text", "letters, digits and . _ : - only",
        "letters, digits and . _ : - only, or an empty text", "printable UTF-8 text",
        "64 lower-case hexadecimal digits", "an IPv4 or IPv6 address",
        "\"METHOD /path\" with * for one segment and ** for the rest", "an id or \"*\"" };
    return texts[static_cast<std::size_t>(rule)];
}

const std::vector<std::string_view>& namesOf(TargetKind) noexcept
{
    static const std::vector<std::string_view> names { "engine", "service" };
    return names;
}

const std::vector<std::string_view>& namesOf(CostRule) noexcept
{
    static const std::vector<std::string_view> names { "by_use", "equal" };
    return names;
}

} // namespace chivewinch::bundle
