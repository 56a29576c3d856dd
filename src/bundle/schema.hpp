#pragma once

#include "bundle/bundle.hpp"

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chivewinch::bundle {

/** Required syntax of a string, or of each string in a list. */
enum class TextRule : std::uint8_t { None, Id, OptionalId, Text, Hex256, Address, Call, IdOrAll };

template <typename Record>
using Member = std::variant<std::string Record::*, std::uint64_t Record::*, bool Record::*,
    std::vector<std::string> Record::*, std::vector<std::uint32_t> Record::*, TargetKind Record::*, CostRule Record::*>;

/** Description of one field. Parsing, range checks, the canonical form and the documentation are derived from it. */
template <typename Record> struct Field {
    std::string_view name;
    Member<Record> member;
    bool required = false;
    TextRule rule = TextRule::None;
    std::uint64_t min = 0; ///< Least number, string length or list length.
    std::uint64_t max = std::numeric_limits<std::uint32_t>::max();
    std::string_view unit;
    std::string_view meaning;
};

/** Fields of one record type, and where its records are in the bundle. */
template <typename Record> struct Schema {
    std::string_view table; ///< Name of the TOML table and prefix of its parts.
    std::vector<Record> Bundle::*records = nullptr; ///< Null for a table with a single record.
    std::string (*key)(const Record&) = nullptr; ///< Key of a record: unique within the table, without spaces.
    std::uint32_t parts = 1; ///< Number of parts over which records are spread by the hash of their keys.
    std::vector<Field<Record>> fields;
};

template <typename Record> [[nodiscard]] const Schema<Record>& schema();
template <> const Schema<Owner>& schema<Owner>();
template <> const Schema<Zone>& schema<Zone>();
template <> const Schema<Model>& schema<Model>();
template <> const Schema<ModelGroup>& schema<ModelGroup>();
template <> const Schema<ExpertLayer>& schema<ExpertLayer>();
template <> const Schema<Target>& schema<Target>();
template <> const Schema<Service>& schema<Service>();
template <> const Schema<Team>& schema<Team>();
template <> const Schema<CostAttribution>& schema<CostAttribution>();

/** Calls the visitor with the schema of each record type that occurs as a list. */
template <typename Visitor> void forEachList(Visitor&& visit)
{
    visit(schema<Owner>());
    visit(schema<Zone>());
    visit(schema<Model>());
    visit(schema<ModelGroup>());
    visit(schema<ExpertLayer>());
    visit(schema<Target>());
    visit(schema<Service>());
    visit(schema<Team>());
}

[[nodiscard]] const std::vector<std::string_view>& namesOf(TargetKind) noexcept;
[[nodiscard]] const std::vector<std::string_view>& namesOf(CostRule) noexcept;

/** Whether the text matches the rule. */
[[nodiscard]] bool matchesRule(TextRule rule, std::string_view text);
/** Description of the rule that completes an error message that begins with "use". */
[[nodiscard]] std::string_view describe(TextRule rule) noexcept;

/** Path of a record in error messages: the table with the key, or with the position if the record has no key. */
template <typename Record>
[[nodiscard]] std::string recordPath(const Schema<Record>& schema, const Record& record, std::size_t index)
{
    if (schema.records == nullptr)
        return std::string { schema.table };
    const auto key = schema.key(record);
    return std::string { schema.table } + (key.empty() ? "[" + std::to_string(index) + "]" : "." + key);
}

/** Markdown table of all fields, as in docs/bundle.md. */
[[nodiscard]] std::string schemaTable();

} // namespace chivewinch::bundle
