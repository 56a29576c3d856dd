#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace chivewinch::gateway {

/** What to do with an event of a stream. */
enum class EventVerdict : std::uint8_t {
    Forward,
    Skip, ///< The caller has it already.
    Broken, ///< An event before it is missing; the stream cannot go on with this run.
};

/** Keeps the events of one answer in order over all runs that contribute to it. */
class EventSequence {
public:
    /** @param after Event after which the caller wants the stream to begin. */
    explicit EventSequence(std::optional<std::uint64_t> after = std::nullopt) noexcept
        : last { after }
    {
    }

    /** Judges the next event of the present run; a forwarded one counts as delivered. */
    [[nodiscard]] EventVerdict accept(std::string_view event) noexcept;

    /** Identity of the newest event that the caller has. */
    [[nodiscard]] std::optional<std::uint64_t> lastId() const noexcept { return this->last; }
    [[nodiscard]] std::uint64_t delivered() const noexcept { return this->count; }

private:
    std::optional<std::uint64_t> last;
    std::uint64_t count = 0;
};

/** Identity of an event; nullopt if it has none or one that is not a number. */
[[nodiscard]] std::optional<std::uint64_t> eventId(std::string_view event) noexcept;

} // namespace chivewinch::gateway
