#include "bundle/parse.hpp"

#include "bundle/schema.hpp"

// GCC 12 reports a false positive inside toml11.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Warray-bounds"
#include <toml.hpp>
#pragma GCC diagnostic pop

#include <algorithm>
#include <set>
#include <sstream>

namespace chivewinch::bundle {

namespace internal {

template <typename Enum> std::string quotedNames()
{
    std::string text;
    for (const auto name : namesOf(Enum {}))
        text += (text.empty() ? "\"" : " or \"") + std::string { name } + "\"";
    return text;
}

/** Reads one TOML value into a member. Returns the suggested fix if the type is wrong, else an empty string. */
struct ValueReader {
    const toml::value& value;

    std::string operator()(std::string& result) const
    {
        if (!this->value.is_string())
            return "use a text in quotes";
        result = this->value.as_string().str;
        return {};
    }

    std::string operator()(std::uint64_t& result) const
    {
        if (!this->value.is_integer() || this->value.as_integer() < 0)
            return "use a whole number, 0 or larger";
        result = static_cast<std::uint64_t>(this->value.as_integer());
        return {};
    }

    std::string operator()(bool& result) const
    {
        if (!this->value.is_boolean())
            return "use true or false";
        result = this->value.as_boolean();
        return {};
    }

    std::string operator()(std::vector<std::string>& result) const
    {
        if (!this->value.is_array())
            return "use a list of texts";
        result.clear();
        for (const auto& element : this->value.as_array()) {
            if (!element.is_string())
                return "use a list of texts";
            result.push_back(element.as_string().str);
        }
        return {};
    }

    std::string operator()(std::vector<std::uint32_t>& result) const
    {
        constexpr auto limit = std::numeric_limits<std::uint32_t>::max();
        if (!this->value.is_array())
            return "use a list of whole numbers";
        result.clear();
        for (const auto& element : this->value.as_array()) {
            if (!element.is_integer() || element.as_integer() < 0 || element.as_integer() > limit)
                return "use a list of whole numbers";
            result.push_back(static_cast<std::uint32_t>(element.as_integer()));
        }
        return {};
    }

    template <typename Enum>
    requires std::is_enum_v<Enum> std::string operator()(Enum& result) const
    {
        const auto& names = namesOf(Enum {});
        const auto found
            = this->value.is_string() ? std::ranges::find(names, this->value.as_string().str) : names.end();
        if (found == names.end())
            return "use " + quotedNames<Enum>();
        result = static_cast<Enum>(found - names.begin());
        return {};
    }
};

std::string textOf(const toml::value& value)
{
    std::ostringstream text;
    text << value;
    auto result = text.str();
    while (!result.empty() && result.back() == '\n')
        result.pop_back();
    return result;
}

/** Converts TOML tables to records and collects the paths that have an error. */
class RecordReader {
public:
    explicit RecordReader(std::vector<ConfigError>& errors) noexcept
        : errors { errors }
    {
    }

    template <typename Record> void readList(const Schema<Record>& schema, const toml::table& root, Bundle& bundle)
    {
        const auto found = root.find(std::string { schema.table });
        if (found == root.end())
            return;
        const auto tableName = std::string { schema.table };
        if (!found->second.is_array()) {
            this->add(tableName, textOf(found->second), "write each record as [[" + tableName + "]]");
            return;
        }
        auto& records = bundle.*schema.records;
        for (const auto& value : found->second.as_array())
            records.push_back(this->readRecord(schema, value, records.size()));
        std::ranges::stable_sort(records, {}, schema.key);
    }

    void readCost(const toml::table& root, Bundle& bundle)
    {
        const auto& costs = schema<CostAttribution>();
        if (const auto found = root.find(std::string { costs.table }); found != root.end())
            bundle.cost = this->readRecord(costs, found->second, 0);
    }

    void readFormat(const toml::table& root)
    {
        const auto found = root.find("format");
        if (found == root.end())
            this->add("format", "", "add format = " + std::to_string(formatNumber));
        else if (!found->second.is_integer() || found->second.as_integer() != formatNumber)
            this->add("format", textOf(found->second), "use format = " + std::to_string(formatNumber));
    }

    void rejectUnknownTables(const toml::table& root)
    {
        std::set<std::string> known { "format", std::string { schema<CostAttribution>().table } };
        forEachList([&](const auto& list) { known.emplace(list.table); });
        for (const auto& [name, value] : root) {
            if (!known.contains(name))
                this->add(name, "", "remove this table; known tables are: " + this->join(known));
        }
    }

    /** Adds the errors that check() found, except for paths that already have a reported error. */
    void addCheckErrors(std::vector<ConfigError> found)
    {
        for (auto& error : found) {
            if (!this->invalidPaths.contains(error.path))
                this->errors.push_back(std::move(error));
        }
    }

private:
    std::vector<ConfigError>& errors;
    std::set<std::string> invalidPaths;

    void add(std::string path, std::string value, std::string fix)
    {
        this->invalidPaths.insert(path);
        this->errors.push_back({ .path = std::move(path), .value = std::move(value), .fix = std::move(fix) });
    }

    static std::string join(const std::set<std::string>& names)
    {
        std::string text;
        for (const auto& name : names)
            text += (text.empty() ? "" : ", ") + name;
        return text;
    }

    template <typename Record>
    Record readRecord(const Schema<Record>& schema, const toml::value& value, std::size_t index)
    {
        Record record;
        if (!value.is_table()) {
            this->add(recordPath(schema, record, index), textOf(value),
                "use a table with the fields of " + std::string { schema.table });
            return record;
        }
        std::vector<ConfigError> found;
        const auto& table = value.as_table();
        std::set<std::string> known;
        for (const auto& field : schema.fields) {
            known.emplace(field.name);
            this->readField(field, table, record, found);
        }
        for (const auto& [name, unused] : table) {
            if (!known.contains(name))
                found.push_back({ .path = name,
                    .value = textOf(unused),
                    .fix = "remove this field; known fields are: " + this->join(known) });
        }
        const auto prefix = recordPath(schema, record, index) + ".";
        for (auto& error : found)
            this->add(prefix + error.path, std::move(error.value), std::move(error.fix));
        return record;
    }

    template <typename Record>
    static void readField(
        const Field<Record>& field, const toml::table& table, Record& record, std::vector<ConfigError>& found)
    {
        const std::string name { field.name };
        const auto value = table.find(name);
        if (value == table.end()) {
            if (field.required)
                found.push_back(
                    { .path = name, .value = "", .fix = "add " + name + ": " + std::string { field.meaning } });
            return;
        }
        auto fix = std::visit([&](auto member) { return ValueReader { value->second }(record.*member); }, field.member);
        if (!fix.empty())
            found.push_back({ .path = name, .value = textOf(value->second), .fix = std::move(fix) });
    }
};

std::optional<toml::value> readToml(std::string_view text, std::vector<ConfigError>& errors)
{
    try {
        std::istringstream stream { std::string { text } };
        return toml::parse(stream, "bundle");
    } catch (const toml::exception& error) {
        errors.push_back({ .path = "line " + std::to_string(error.location().line()),
            .value = error.location().line_str(),
            .fix = "correct the TOML syntax: " + std::string { error.what() } });
    } catch (const std::exception& error) {
        errors.push_back({ .path = "text", .value = "", .fix = std::string { "correct the TOML: " } + error.what() });
    }
    return std::nullopt;
}

} // namespace internal

std::optional<Bundle> parse(std::string_view text, std::vector<ConfigError>& errors)
{
    const auto before = errors.size();
    const auto document = internal::readToml(text, errors);
    if (!document)
        return std::nullopt;
    const auto& root = document->as_table();
    Bundle bundle;
    internal::RecordReader reader { errors };
    reader.readFormat(root);
    reader.rejectUnknownTables(root);
    forEachList([&](const auto& list) { reader.readList(list, root, bundle); });
    reader.readCost(root, bundle);
    reader.addCheckErrors(check(bundle));
    if (errors.size() != before)
        return std::nullopt;
    return bundle;
}

} // namespace chivewinch::bundle
