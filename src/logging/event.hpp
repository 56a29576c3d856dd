#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace chivewinch::logging {

enum class Level : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/** Destination of log lines. */
enum class Output : std::uint8_t {
    StandardError,
    StandardOutput, ///< Never blocks; lines that exceed the buffer are dropped and counted.
};

struct Options {
    Level level = Level::Info;
    Output output = Output::StandardError;
    std::string program; ///< Value of the "program" key on each line.
    std::string instance; ///< Value of the "instance" key on each line.
};

/** Sets up log4cplus to write one key=value line per event. */
void configure(const Options& options);

/** Level with the given name (debug, info, warning or error); Info for any other text. */
[[nodiscard]] Level parseLevel(std::string_view name) noexcept;

/**
 * One log event. The line is written by debug(), info(), warning() or error().
 * Event names and keys are stable, since operators search for them.
 */
class Event {
public:
    explicit Event(std::string_view name);

    /**
     * Adds a key and a value. The value is quoted if it is empty or contains spaces, quotes, equals signs, backslashes
     * or control characters.
     */
    Event& field(std::string_view key, std::string_view value);
    Event& field(std::string_view key, const char* value) { return this->field(key, std::string_view { value }); }
    Event& field(std::string_view key, bool value) { return this->field(key, value ? "true" : "false"); }
    Event& field(std::string_view key, double value);
    template <std::integral Integer> Event& field(std::string_view key, Integer value)
    {
        return this->field(key, std::string_view { std::to_string(value) });
    }

    void debug() const { this->write(Level::Debug); }
    void info() const { this->write(Level::Info); }
    void warning() const { this->write(Level::Warning); }
    void error() const { this->write(Level::Error); }

    /** The line without the prefix that log4cplus adds. */
    [[nodiscard]] const std::string& line() const noexcept { return this->text; }

private:
    std::string text;

    void write(Level level) const;
};

} // namespace chivewinch::logging
