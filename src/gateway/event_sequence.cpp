#include "gateway/event_sequence.hpp"

#include "gateway/forwarding.hpp"

namespace chivewinch::gateway {

namespace internal {

constexpr std::string_view idField = "id:";

} // namespace internal

std::optional<std::uint64_t> eventId(std::string_view event) noexcept
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        auto line = event.substr(0, end);
        if (line.starts_with(internal::idField)) {
            line.remove_prefix(internal::idField.size());
            if (line.starts_with(' '))
                line.remove_prefix(1);
            if (line.ends_with('\r'))
                line.remove_suffix(1);
            return parseNumber(line);
        }
        if (end == std::string_view::npos)
            break;
        event.remove_prefix(end + 1);
    }
    return std::nullopt;
}

EventAction EventSequence::accept(std::string_view event) noexcept
{
    const auto id = eventId(event);
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
