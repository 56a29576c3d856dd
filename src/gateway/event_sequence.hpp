#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace chivewinch::gateway {

/** How to handle an event of a stream. */
enum class EventAction : std::uint8_t {
    Forward,
    Skip, ///< The caller already has this event.
    Gap, ///< A preceding event is missing or this is no event; the stream cannot continue with this run.
};

/** Delivers the events of one answer in order and once each, across all runs that contribute to it. */
class EventSequence {
public:
    /** @param after ID of the event after which the caller asks the stream to begin. */
    explicit EventSequence(std::optional<std::uint64_t> after = std::nullopt) noexcept
        : last { after }
    {
    }

    /** Checks the next event of the current run; an event to forward counts as delivered. */
    [[nodiscard]] EventAction accept(std::string_view event) noexcept;

    /** Content type of the run that began the stream; a run that continues it must have the same. */
    [[nodiscard]] const std::string& contentType() const noexcept { return this->type; }
    void setContentType(std::string newType) { this->type = std::move(newType); }

    /** ID of the last event delivered, or initially of the event after which the stream begins. */
    [[nodiscard]] std::optional<std::uint64_t> lastId() const noexcept { return this->last; }
    /** False if another run cannot continue the stream, because the delivered events have no IDs. */
    [[nodiscard]] bool canContinue() const noexcept { return this->count == 0 || this->last.has_value(); }
    [[nodiscard]] std::uint64_t delivered() const noexcept { return this->count; }

private:
    std::optional<std::uint64_t> last;
    std::uint64_t count = 0;
    std::string type;
};

/** True if each line of the event is a field or a comment, as in the format of server-sent events. */
[[nodiscard]] bool isWellFormed(std::string_view event) noexcept;

/** ID of an event; nullopt if the event has no ID or its ID is not a number. */
[[nodiscard]] std::optional<std::uint64_t> eventId(std::string_view event) noexcept;

} // namespace chivewinch::gateway
