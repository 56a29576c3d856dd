#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::logging {

/** A parsed log line. */
struct Line {
    std::string text; ///< The line from its time field on, without a prefix added by a log collector.
    std::map<std::string, std::string, std::less<>> fields; ///< Values without quotes.

    /** Value of a field; empty if the line has no such field. */
    [[nodiscard]] std::string_view field(std::string_view key) const noexcept;

    bool operator==(const Line&) const = default;
};

/** Parses a line written by Event; nullopt if the text has no time or event field, or a quote is not closed. */
[[nodiscard]] std::optional<Line> parseLine(std::string_view text);

} // namespace chivewinch::logging
