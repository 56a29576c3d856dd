#include "http/sse.hpp"

namespace chivewinch::http {

namespace internal {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view dataField = "data:";

} // namespace internal

std::optional<std::string> EventSplitter::next()
{
    const auto end = this->buffer.find(internal::eventEnd, this->offset);
    if (end == std::string::npos) {
        this->buffer.erase(0, this->offset);
        this->offset = 0;
        return std::nullopt;
    }
    const auto length = end + internal::eventEnd.size() - this->offset;
    auto event = this->buffer.substr(this->offset, length);
    this->offset += length;
    return event;
}

std::string_view eventData(std::string_view event) noexcept
{
    if (!event.starts_with(internal::dataField))
        return {};
    event.remove_prefix(internal::dataField.size());
    if (event.starts_with(' '))
        event.remove_prefix(1);
    return event.substr(0, event.find('\n'));
}

std::string makeEvent(std::string_view data)
{
    std::string event { internal::dataField };
    event += ' ';
    event += data;
    event += internal::eventEnd;
    return event;
}

} // namespace chivewinch::http
