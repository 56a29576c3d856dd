#include "bundle/delta.hpp"

#include <nlohmann/json.hpp>

namespace chivewinch::bundle {

namespace internal {

const PartRecords& recordsOf(const Parts& parts, const std::string& name)
{
    static const PartRecords none;
    const auto found = parts.find(name);
    return found == parts.end() ? none : found->second;
}

PartDelta difference(const PartRecords& from, const PartRecords& to)
{
    PartDelta delta;
    for (const auto& [key, record] : from) {
        if (!to.contains(key))
            delta.removed.insert(key);
    }
    for (const auto& [key, record] : to) {
        const auto old = from.find(key);
        if (old == from.end() || old->second != record)
            delta.set.emplace_hint(delta.set.end(), key, record);
    }
    return delta;
}

void apply(PartRecords& records, const PartDelta& delta)
{
    for (const auto& key : delta.removed)
        records.erase(key);
    for (const auto& [key, record] : delta.set)
        records.insert_or_assign(key, record);
}

} // namespace internal

Delta difference(const Parts& from, const Parts& to)
{
    Delta delta { .from = contentHash(hashParts(from)), .to = contentHash(hashParts(to)) };
    std::set<std::string> names;
    for (const auto* parts : { &from, &to }) {
        for (const auto& [name, records] : *parts)
            names.insert(name);
    }
    for (const auto& name : names) {
        auto part = internal::difference(internal::recordsOf(from, name), internal::recordsOf(to, name));
        if (part != PartDelta {})
            delta.parts.emplace(name, std::move(part));
    }
    return delta;
}

Parts changedParts(const Parts& parts, const Delta& delta)
{
    Parts result;
    for (const auto& [name, change] : delta.parts) {
        auto records = internal::recordsOf(parts, name);
        internal::apply(records, change);
        result.emplace(name, std::move(records));
    }
    return result;
}

Delta compose(Delta first, const Delta& second)
{
    first.to = second.to;
    for (const auto& [name, change] : second.parts) {
        auto& part = first.parts[name];
        for (const auto& key : change.removed) {
            part.set.erase(key);
            part.removed.insert(key);
        }
        for (const auto& [key, record] : change.set) {
            part.removed.erase(key);
            part.set.insert_or_assign(key, record);
        }
    }
    return first;
}

std::string encode(const Delta& delta)
{
    auto parts = nlohmann::json::object();
    for (const auto& [name, part] : delta.parts)
        parts[name] = { { "removed", part.removed }, { "set", part.set } };
    return nlohmann::json { { "from", delta.from }, { "to", delta.to }, { "parts", std::move(parts) } }.dump();
}

std::optional<Delta> decodeDelta(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        Delta delta { .from = json.at("from").get<std::string>(), .to = json.at("to").get<std::string>() };
        for (const auto& [name, part] : json.at("parts").items()) {
            delta.parts.emplace(name,
                PartDelta { .removed = part.at("removed").get<std::set<std::string>>(),
                    .set = part.at("set").get<PartRecords>() });
        }
        return delta;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

std::string manifestText(const PartHashes& hashes)
{
    std::string lines;
    for (const auto& [name, hash] : hashes)
        lines.append(name).append(" ").append(hash).append("\n");
    return lines;
}

std::optional<PartHashes> parseManifest(std::string_view text)
{
    // A manifest has the form of a part: a key and a value on each line, in key order.
    return parsePartText(text);
}

} // namespace chivewinch::bundle
