#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::http {

/** Data of the event that ends a completion stream. */
inline constexpr std::string_view streamEndData = "[DONE]";

/** Cuts a body of server-sent events into events. */
class EventSplitter {
public:
    void append(std::string_view bytes) { this->buffer += bytes; }

    /** Next whole event with its empty line; nullopt when more bytes are needed. */
    [[nodiscard]] std::optional<std::string> next();

    /** Bytes of an event that is not whole yet. */
    [[nodiscard]] std::string_view rest() const noexcept
    {
        return std::string_view { this->buffer }.substr(this->offset);
    }

private:
    std::string buffer;
    std::size_t offset = 0;
};

/** Data of an event without the field name; empty for an event without data. */
[[nodiscard]] std::string_view eventData(std::string_view event) noexcept;

/** Event with the given data, which must be one line. */
[[nodiscard]] std::string makeEvent(std::string_view data);

} // namespace chivewinch::http
