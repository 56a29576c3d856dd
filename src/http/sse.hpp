#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::http {

/** Data of the event that marks the end of a completion stream. */
inline constexpr std::string_view streamEndData = "[DONE]";

/** Splits a stream of server-sent events into single events. */
class EventSplitter {
public:
    void append(std::string_view bytes) { this->buffer += bytes; }

    /** Returns the next complete event, including its blank line; nullopt if more bytes are needed. */
    [[nodiscard]] std::optional<std::string> next();

    /** Buffered bytes that no call to next() has returned yet. */
    [[nodiscard]] std::string_view rest() const noexcept
    {
        return std::string_view { this->buffer }.substr(this->offset);
    }

private:
    std::string buffer;
    std::size_t offset = 0;
};

/**
 * Value of the first line if it is a data field, without the field name; empty if the event does not start with
 * "data:". Points into the event.
 */
[[nodiscard]] std::string_view eventData(std::string_view event) noexcept;

/** Creates an event with the given data, which must be a single line. */
[[nodiscard]] std::string makeEvent(std::string_view data);

} // namespace chivewinch::http
