#pragma once

#include "settings/value_type.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::settings {

/** One setting. Its flag, environment variable, help text and documentation are generated from this definition. */
struct Setting {
    std::string name; ///< Flag without the leading dashes, e.g. "drain-timeout".
    std::string description;
    ValueType type;
    /** Value if neither the flag nor the environment variable is given; nullopt makes the setting required. */
    std::optional<std::string> defaultValue;
};

enum class ErrorCode : std::uint8_t {
    None,
    UnknownFlag,
    InvalidValue,
    Missing,
};

/** Why the settings were rejected. */
struct Error {
    ErrorCode code = ErrorCode::None;
    std::string detail;

    bool operator==(const Error&) const = default;
};

/** Validated settings. Reading a setting that is not defined is a programming error and throws std::out_of_range. */
class Values {
public:
    explicit Values(std::map<std::string, std::string> values)
        : values { std::move(values) }
    {
    }

    [[nodiscard]] const std::string& text(const std::string& name) const { return this->values.at(name); }
    [[nodiscard]] std::int64_t integer(const std::string& name) const;
    [[nodiscard]] double real(const std::string& name) const;
    [[nodiscard]] std::chrono::milliseconds duration(const std::string& name) const;
    [[nodiscard]] Endpoint endpoint(const std::string& name) const;
    [[nodiscard]] std::vector<Endpoint> endpoints(const std::string& name) const;

    bool operator==(const Values&) const = default;

private:
    std::map<std::string, std::string> values;
};

/** Returns the value of an environment variable; nullopt if it is not set. */
using Environment = std::function<std::optional<std::string>(const std::string& variable)>;

/** All settings of one program. */
class Definition {
public:
    Definition(std::string program, std::string summary, std::vector<Setting> settings);

    /**
     * Takes each value from its flag, else from its environment variable, else from its default.
     * Returns nullopt and sets lastReason() if any setting is invalid or missing.
     */
    [[nodiscard]] std::optional<Values> parse(
        const std::vector<std::string>& arguments, const Environment& environment);

    [[nodiscard]] const Error& lastReason() const noexcept { return this->reason; }
    [[nodiscard]] bool defines(std::string_view setting) const noexcept;
    [[nodiscard]] std::string help() const;
    /** Markdown table for docs/settings.md. */
    [[nodiscard]] std::string markdown() const;

    /** Name of the environment variable of a setting, e.g. CHIVEWINCH_ENTRY_DRAIN_TIMEOUT. */
    [[nodiscard]] std::string variable(std::string_view setting) const;

private:
    std::string program;
    std::string summary;
    std::vector<Setting> settings;
    Error reason;

    std::optional<Values> fail(ErrorCode code, std::string detail);
    [[nodiscard]] std::optional<std::map<std::string, std::string>> parseFlags(
        const std::vector<std::string>& arguments);
};

/** Environment variables of this process. */
[[nodiscard]] Environment processEnvironment();

} // namespace chivewinch::settings
