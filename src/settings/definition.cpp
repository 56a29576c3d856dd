#include "settings/definition.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace chivewinch::settings {

namespace options = boost::program_options;

namespace internal {

options::options_description describeOptions(const std::string& caption, const std::vector<Setting>& settings)
{
    options::options_description description { caption };
    for (const auto& setting : settings)
        description.add_options()(setting.name.c_str(), options::value<std::string>(), setting.description.c_str());
    return description;
}

std::string invalidValueMessage(const Setting& setting, const std::string& source, const std::string& value)
{
    return "setting " + setting.name + " (" + source + "): value \"" + value + "\" is not accepted; expected "
        + setting.type.accepted();
}

} // namespace internal

std::int64_t Values::integer(const std::string& name) const { return parseInteger(this->text(name)).value(); }

double Values::real(const std::string& name) const { return parseReal(this->text(name)).value(); }

std::chrono::milliseconds Values::duration(const std::string& name) const
{
    return parseDuration(this->text(name)).value();
}

Endpoint Values::endpoint(const std::string& name) const { return parseEndpoint(this->text(name)).value(); }

std::vector<Endpoint> Values::endpoints(const std::string& name) const
{
    std::vector<Endpoint> result;
    for (const auto& item : splitList(this->text(name)))
        result.push_back(parseEndpoint(item).value());
    return result;
}

Definition::Definition(std::string program, std::string summary, std::vector<Setting> settings)
    : program { std::move(program) }
    , summary { std::move(summary) }
    , settings { std::move(settings) }
{
}

std::optional<Values> Definition::fail(ErrorCode code, std::string detail)
{
    this->reason = { .code = code, .detail = std::move(detail) };
    return std::nullopt;
}

std::optional<std::map<std::string, std::string>> Definition::parseFlags(const std::vector<std::string>& arguments)
{
    std::map<std::string, std::string> parsedFlags;
    try {
        const auto description = internal::describeOptions(this->program, this->settings);
        const options::positional_options_description none;
        const auto style = options::command_line_style::unix_style & ~options::command_line_style::allow_guessing;
        const auto parsed
            = options::command_line_parser { arguments }.options(description).positional(none).style(style).run();
        for (const auto& option : parsed.options)
            parsedFlags[option.string_key] = option.value.empty() ? "" : option.value.front();
    } catch (const options::error& error) {
        this->reason = { .code = ErrorCode::UnknownFlag, .detail = std::string { error.what() } + "; see --help" };
        return std::nullopt;
    }
    return parsedFlags;
}

std::optional<Values> Definition::parse(const std::vector<std::string>& arguments, const Environment& environment)
{
    const auto flags = this->parseFlags(arguments);
    if (!flags)
        return std::nullopt;
    std::map<std::string, std::string> values;
    for (const auto& setting : this->settings) {
        const auto variableName = this->variable(setting.name);
        const auto flag = flags->find(setting.name);
        const auto fromEnvironment = environment(variableName);
        std::string source = "default";
        std::string value = setting.defaultValue.value_or("");
        if (flag != flags->end()) {
            source = "--" + setting.name;
            value = flag->second;
        } else if (fromEnvironment) {
            source = variableName;
            value = *fromEnvironment;
        } else if (!setting.defaultValue) {
            return this->fail(ErrorCode::Missing,
                "setting " + setting.name + " is required: give --" + setting.name + " or " + variableName + " ("
                    + setting.type.accepted() + ")");
        }
        if (source != "default" && !setting.type.accepts(value))
            return this->fail(ErrorCode::InvalidValue, internal::invalidValueMessage(setting, source, value));
        values.emplace(setting.name, std::move(value));
    }
    return Values { std::move(values) };
}

bool Definition::defines(std::string_view setting) const noexcept
{
    return std::ranges::any_of(this->settings, [setting](const auto& known) { return known.name == setting; });
}

std::string Definition::help() const
{
    std::ostringstream text;
    text << this->program << ": " << this->summary << "\n\n";
    for (const auto& setting : this->settings) {
        text << "  --" << setting.name << " VALUE\n      " << setting.description
             << "\n      Accepted: " << setting.type.accepted() << "\n      ";
        if (setting.defaultValue)
            text << "Default: " << (setting.defaultValue->empty() ? "(empty)" : *setting.defaultValue);
        else
            text << "Required";
        text << ". Variable: " << this->variable(setting.name) << "\n";
    }
    text << "  --check-config\n      Checks the settings and exits with 0, or with 2 if one is wrong\n"
         << "  --version\n      Prints the version and exits\n  --help\n      Prints this text and exits\n";
    return text.str();
}

std::string Definition::markdown() const
{
    std::ostringstream text;
    text << "## " << this->program << "\n\n"
         << this->summary << "\n\n| flag | variable | accepted | default | meaning |\n"
         << "|---|---|---|---|---|\n";
    for (const auto& setting : this->settings) {
        const auto defaultText = !setting.defaultValue ? "required"
            : setting.defaultValue->empty()            ? "empty"
                                                       : *setting.defaultValue;
        text << "| `--" << setting.name << "` | `" << this->variable(setting.name) << "` | " << setting.type.accepted()
             << " | " << defaultText << " | " << setting.description << " |\n";
    }
    return text.str();
}

std::string Definition::variable(std::string_view setting) const
{
    auto name = this->program + "_" + std::string { setting };
    std::ranges::transform(name, name.begin(),
        [](unsigned char character) { return character == '-' ? '_' : static_cast<char>(std::toupper(character)); });
    return name;
}

Environment processEnvironment()
{
    return [](const std::string& variable) -> std::optional<std::string> {
        const auto* value = std::getenv(variable.c_str());
        if (value == nullptr)
            return std::nullopt;
        return value;
    };
}

} // namespace chivewinch::settings
