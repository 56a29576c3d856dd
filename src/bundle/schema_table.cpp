#include "bundle/schema.hpp"

namespace chivewinch::bundle {

namespace internal {

struct TypeName {
    std::string operator()(const std::string&) const { return "text"; }
    std::string operator()(std::uint64_t) const { return "whole number"; }
    std::string operator()(bool) const { return "true or false"; }
    std::string operator()(const std::vector<std::string>&) const { return "list of texts"; }
    std::string operator()(const std::vector<std::uint32_t>&) const { return "list of whole numbers"; }
    template <typename Enum> std::string operator()(Enum value) const
    {
        std::string text;
        for (const auto name : namesOf(value))
            text += (text.empty() ? "`" : " or `") + std::string { name } + "`";
        return text;
    }
};

struct DefaultText {
    std::string operator()(const std::string& value) const { return "\"" + value + "\""; }
    std::string operator()(std::uint64_t value) const { return std::to_string(value); }
    std::string operator()(bool value) const { return value ? "true" : "false"; }
    std::string operator()(const std::vector<std::string>&) const { return "[]"; }
    std::string operator()(const std::vector<std::uint32_t>&) const { return "[]"; }
    template <typename Enum> std::string operator()(Enum value) const
    {
        return std::string { namesOf(value)[static_cast<std::size_t>(value)] };
    }
};

template <typename Record> std::string rangeOf(const Field<Record>& field)
{
    if (field.rule == TextRule::Hex256 || field.rule == TextRule::Address)
        return std::string { describe(field.rule) };
    auto bounds = std::to_string(field.min) + "–" + std::to_string(field.max);
    if (std::holds_alternative<std::uint64_t Record::*>(field.member))
        return bounds;
    if (std::holds_alternative<std::string Record::*>(field.member))
        return bounds + " characters; " + std::string { describe(field.rule) };
    if (std::holds_alternative<std::vector<std::string> Record::*>(field.member))
        return bounds + " entries; " + std::string { describe(field.rule) };
    if (std::holds_alternative<std::vector<std::uint32_t> Record::*>(field.member))
        return bounds + " entries";
    return "-";
}

// Not inlined: if GCC 12 sees the size of the record, it warns about branches of the visitor that are never taken.
template <typename Record>
[[gnu::noinline]] void appendRows(const Schema<Record>& schema, const Record& defaults, std::string& text)
{
    for (const auto& field : schema.fields) {
        const auto type = std::visit([&](auto member) { return TypeName {}(defaults.*member); }, field.member);
        const auto value = std::visit([&](auto member) { return DefaultText {}(defaults.*member); }, field.member);
        text += "| `" + std::string { schema.table } + "." + std::string { field.name } + "` | " + type + " | "
            + (field.required ? "required" : value) + " | " + (field.unit.empty() ? "-" : std::string { field.unit })
            + " | " + rangeOf(field) + " | " + std::string { field.meaning } + " |\n";
    }
}

} // namespace internal

std::string schemaTable()
{
    std::string text = "| field | type | default | unit | range | meaning |\n|---|---|---|---|---|---|\n";
    forEachList([&]<typename Record>(const Schema<Record>& list) { internal::appendRows(list, Record {}, text); });
    internal::appendRows(schema<CostAttribution>(), CostAttribution {}, text);
    return text;
}

} // namespace chivewinch::bundle
