#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::logging {

/** One log line, read back. */
struct Line {
    std::string text; ///< From the time on, without what a collector wrote before it.
    std::map<std::string, std::string, std::less<>> fields; ///< Values without quotes.

    /** Value of a field; empty if the line does not have it. */
    [[nodiscard]] std::string_view field(std::string_view key) const noexcept;

    bool operator==(const Line&) const = default;
};

/** Reads a line of Event; nullopt if the text has no time or no event, or a quote is not closed. */
[[nodiscard]] std::optional<Line> parseLine(std::string_view text);

} // namespace chivewinch::logging
