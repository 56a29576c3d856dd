#include "logging/line.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::logging {

namespace internal {

/** Removes a quoted value from the front of the text and returns it; nullopt if the closing quote is missing. */
std::optional<std::string> consumeQuotedValue(std::string_view& text)
{
    std::string value;
    text.remove_prefix(1);
    while (!text.empty()) {
        auto character = text.front();
        text.remove_prefix(1);
        if (character == '"')
            return value;
        if (character == '\\' && !text.empty()) {
            character = text.front();
            text.remove_prefix(1);
        }
        value += character;
    }
    return std::nullopt;
}

std::string consumeWord(std::string_view& text, std::string_view delimiters)
{
    const auto length = std::min(text.find_first_of(delimiters), text.size());
    std::string word { text.substr(0, length) };
    text.remove_prefix(length);
    return word;
}

} // namespace internal

std::string_view Line::field(std::string_view key) const noexcept
{
    const auto found = this->fields.find(key);
    return found == this->fields.end() ? std::string_view {} : std::string_view { found->second };
}

std::optional<Line> parseLine(std::string_view text)
{
    constexpr std::string_view firstKey = "time=";
    const auto begin = text.find(firstKey);
    if (begin == std::string_view::npos)
        return std::nullopt;
    text.remove_prefix(begin);
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r'))
        text.remove_suffix(1);
    Line line { .text = std::string { text }, .fields = {} };
    while (!text.empty()) {
        if (text.front() == ' ') {
            text.remove_prefix(1);
            continue;
        }
        auto key = internal::consumeWord(text, "= ");
        if (text.empty() || text.front() != '=')
            continue;
        text.remove_prefix(1);
        std::optional<std::string> value;
        if (!text.empty() && text.front() == '"')
            value = internal::consumeQuotedValue(text);
        else
            value = internal::consumeWord(text, " ");
        if (!value)
            return std::nullopt;
        line.fields.insert_or_assign(std::move(key), std::move(*value));
    }
    if (line.field("event").empty())
        return std::nullopt;
    return line;
}

} // namespace chivewinch::logging
