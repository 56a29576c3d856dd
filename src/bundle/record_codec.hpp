#pragma once

#include "base/hash.hpp"
#include "bundle/schema.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <string>

namespace chivewinch::bundle::internal {

using Json = nlohmann::json;

/** JSON of one member; enumerators by name. */
template <typename Value> Json toJson(const Value& value)
{
    if constexpr (std::is_enum_v<Value>)
        return namesOf(value)[static_cast<std::size_t>(value)];
    else
        return value;
}

template <typename Value> bool fromJson(const Json& json, Value& value)
{
    if constexpr (std::is_enum_v<Value>) {
        const auto& names = namesOf(value);
        const auto found = std::ranges::find(names, json.get_ref<const std::string&>());
        if (found == names.end())
            return false;
        value = static_cast<Value>(found - names.begin());
    } else {
        json.get_to(value);
    }
    return true;
}

/** Canonical JSON of a record: all fields, names in alphabetical order, no spaces. */
template <typename Record> std::string encodeRecord(const Schema<Record>& schema, const Record& record)
{
    Json json = Json::object();
    for (const auto& field : schema.fields)
        std::visit([&](auto member) { json[std::string { field.name }] = toJson(record.*member); }, field.member);
    return json.dump();
}

/** Inverse of encodeRecord; nullopt for a missing, unknown or mistyped field. */
template <typename Record> std::optional<Record> decodeRecord(const Schema<Record>& schema, const std::string& text)
{
    try {
        const auto json = Json::parse(text);
        Record record;
        bool valid = json.size() == schema.fields.size();
        for (const auto& field : schema.fields) {
            const auto& value = json.at(std::string { field.name });
            valid = std::visit([&](auto member) { return fromJson(value, record.*member); }, field.member) && valid;
        }
        if (valid)
            return record;
    } catch (const Json::exception&) { // reported by the caller with the part and key
    }
    return std::nullopt;
}

/** Part that holds the record with this key. */
template <typename Record> std::string partName(const Schema<Record>& schema, const std::string& key)
{
    if (schema.parts == 1)
        return std::string { schema.table };
    std::array<char, 16> suffix {};
    std::snprintf(suffix.data(), suffix.size(), "/%02x", static_cast<unsigned>(base::hash64(key) % schema.parts));
    return std::string { schema.table } + suffix.data();
}

} // namespace chivewinch::bundle::internal
