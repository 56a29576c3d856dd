#include "bundle/canonical.hpp"

#include "bundle/digest.hpp"
#include "bundle/record_codec.hpp"

#include <algorithm>

namespace chivewinch::bundle {

namespace internal {

template <typename Record> void encodeList(const Schema<Record>& schema, const Bundle& bundle, Parts& parts)
{
    for (const auto& record : bundle.*schema.records) {
        auto key = schema.key(record);
        parts[partName(schema, key)].insert_or_assign(std::move(key), encodeRecord(schema, record));
    }
}

/** Decodes the records of parts into a bundle and reports the first malformed record. */
class Decoder {
public:
    Decoder(const Parts& parts, Error& reason) noexcept
        : parts { parts }
        , reason { reason }
    {
    }

    bool readAll(Bundle& bundle)
    {
        std::size_t partsRead = 0;
        bool valid = true;
        forEachList([&](const auto& list) { valid = valid && this->readList(list, bundle, partsRead); });
        const auto& costs = schema<CostAttribution>();
        if (const auto cost = this->parts.find(costs.table); valid && cost != this->parts.end()) {
            ++partsRead;
            const auto record = cost->second.find(costs.key(bundle.cost));
            const bool single = cost->second.size() == 1 && record != cost->second.end();
            const auto decoded = single ? decodeRecord(costs, record->second) : std::nullopt;
            valid = decoded ? true : this->fail("cost", "cost");
            bundle.cost = decoded.value_or(CostAttribution {});
        }
        return valid && (partsRead == this->parts.size() || this->fail("unknown table", ""));
    }

private:
    const Parts& parts;
    Error& reason;

    bool fail(std::string_view part, std::string_view key)
    {
        this->reason = { .code = ErrorCode::Invalid,
            .detail = "malformed record in part " + std::string { part } + ": " + std::string { key } };
        return false;
    }

    template <typename Record> bool readList(const Schema<Record>& schema, Bundle& bundle, std::size_t& partsRead)
    {
        const std::string table { schema.table };
        const auto belongs = [&](const std::string& name) { return name == table || name.starts_with(table + "/"); };
        auto& records = bundle.*schema.records;
        for (auto part = this->parts.lower_bound(table); part != this->parts.end() && part->first.starts_with(table);
             ++part) {
            if (!belongs(part->first))
                continue;
            ++partsRead;
            for (const auto& [key, text] : part->second) {
                auto record = decodeRecord(schema, text);
                if (!record || schema.key(*record) != key || partName(schema, key) != part->first)
                    return this->fail(part->first, key);
                records.push_back(std::move(*record));
            }
        }
        std::ranges::sort(records, {}, schema.key);
        return true;
    }
};

template <typename Record> void appendToml(const Schema<Record>& schema, const Record& record, std::string& text)
{
    text += schema.records == nullptr ? "\n[" + std::string { schema.table } + "]\n"
                                      : "\n[[" + std::string { schema.table } + "]]\n";
    for (const auto& field : schema.fields) {
        std::visit(
            [&](auto member) { text += std::string { field.name } + " = " + toJson(record.*member).dump() + "\n"; },
            field.member);
    }
}

} // namespace internal

Parts encode(const Bundle& bundle)
{
    Parts parts;
    forEachList([&](const auto& list) { internal::encodeList(list, bundle, parts); });
    const auto& costs = schema<CostAttribution>();
    parts[std::string { costs.table }].emplace(costs.key(bundle.cost), internal::encodeRecord(costs, bundle.cost));
    return parts;
}

std::optional<Bundle> decode(const Parts& parts, Error& reason)
{
    Bundle bundle;
    internal::Decoder decoder { parts, reason };
    if (!decoder.readAll(bundle))
        return std::nullopt;
    return bundle;
}

std::string partText(const PartRecords& records)
{
    std::string text;
    for (const auto& [key, record] : records)
        text.append(key).append(" ").append(record).append("\n");
    return text;
}

std::optional<PartRecords> parsePartText(std::string_view text)
{
    PartRecords records;
    while (!text.empty()) {
        const auto end = text.find('\n');
        const auto space = text.find(' ');
        if (end == std::string_view::npos || space > end)
            return std::nullopt;
        std::string key { text.substr(0, space) };
        if (!records.empty() && records.rbegin()->first >= key)
            return std::nullopt;
        records.emplace_hint(records.end(), std::move(key), text.substr(space + 1, end - space - 1));
        text.remove_prefix(end + 1);
    }
    return records;
}

PartHashes hashParts(const Parts& parts)
{
    PartHashes hashes;
    for (const auto& [name, records] : parts)
        hashes.emplace_hint(hashes.end(), name, sha256Hex(partText(records)));
    return hashes;
}

std::string contentHash(const PartHashes& hashes)
{
    std::string lines;
    for (const auto& [name, hash] : hashes)
        lines.append(name).append(" ").append(hash).append("\n");
    return sha256Hex(lines);
}

std::string contentHash(const Bundle& bundle) { return contentHash(hashParts(encode(bundle))); }

std::string toToml(const Bundle& bundle)
{
    std::string text = "format = " + std::to_string(formatNumber) + "\n";
    forEachList([&](const auto& list) {
        for (const auto& record : bundle.*list.records)
            internal::appendToml(list, record, text);
    });
    internal::appendToml(schema<CostAttribution>(), bundle.cost, text);
    return text;
}

} // namespace chivewinch::bundle
