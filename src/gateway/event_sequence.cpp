#include "gateway/event_sequence.hpp"

#include "gateway/forwarding.hpp"

#include <algorithm>

namespace chivewinch::gateway {

namespace internal {

constexpr std::string_view idField = "id:";

/** Removes the first line from the text and returns it without its line break. */
std::string_view takeLine(std::string_view& text) noexcept
{
    const auto end = text.find('\n');
    auto line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

bool isFieldName(std::string_view name) noexcept
{
    return !name.empty() && std::ranges::all_of(name, [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    });
}

bool isComment(std::string_view event) noexcept
{
    while (!event.empty()) {
        const auto line = takeLine(event);
        if (!line.empty() && !line.starts_with(':'))
            return false;
    }
    return true;
}

} // namespace internal

bool isWellFormed(std::string_view event) noexcept
{
    bool hasField = false;
    while (!event.empty()) {
        const auto line = internal::takeLine(event);
        // A blank line ends the event; more of them may come before it.
        if (line.empty() && hasField)
            return event.empty();
        if (line.empty())
            continue;
        hasField = true;
        if (!line.starts_with(':') && !internal::isFieldName(line.substr(0, line.find(':'))))
            return false;
    }
    return true;
}

std::optional<std::uint64_t> eventId(std::string_view event) noexcept
{
    while (!event.empty()) {
        auto line = internal::takeLine(event);
        if (line.starts_with(internal::idField)) {
            line.remove_prefix(internal::idField.size());
            if (line.starts_with(' '))
                line.remove_prefix(1);
            return parseNumber(line);
        }
    }
    return std::nullopt;
}

EventAction EventSequence::accept(std::string_view event) noexcept
{
    if (!isWellFormed(event))
        return EventAction::Gap;
    if (internal::isComment(event))
        return EventAction::Forward;
    const auto id = eventId(event);
    // In a stream with IDs, an event without one cannot be placed.
    if (!id && this->last)
        return EventAction::Gap;
    if (id && this->last) {
        if (*id <= *this->last)
            return EventAction::Skip;
        if (*id != *this->last + 1)
            return EventAction::Gap;
    }
    if (id)
        this->last = id;
    ++this->count;
    return EventAction::Forward;
}

} // namespace chivewinch::gateway
