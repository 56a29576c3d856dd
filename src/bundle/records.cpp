#include "bundle/records.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

namespace chivewinch::bundle {

namespace internal {

constexpr std::string_view tableName { "bundle" };

base::BundleVersion versionAt(const nlohmann::json& json, const char* name)
{
    return base::BundleVersion { json.at(name).get<std::uint64_t>() };
}

} // namespace internal

std::string toString(base::BundleVersion version) { return std::to_string(static_cast<std::uint64_t>(version)); }

std::string encode(const HeadRecord& record)
{
    nlohmann::json json { { "last", static_cast<std::uint64_t>(record.last) }, { "by", record.by },
        { "nonce", record.nonce } };
    if (record.rolled)
        json["rolled"] = *record.rolled;
    return json.dump();
}

std::optional<HeadRecord> decodeHead(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        HeadRecord record { .last = internal::versionAt(json, "last"),
            .rolled = std::nullopt,
            .by = json.at("by").get<std::string>(),
            .nonce = json.at("nonce").get<std::string>() };
        if (json.contains("rolled"))
            record.rolled = json.at("rolled").get<Proof>();
        return record;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

std::string encode(const VersionRecord& record)
{
    return nlohmann::json {
        { "proof", record.proof }, { "state", std::string { toString(record.state) } }, { "author", record.author },
        { "propose_nonce", record.proposeNonce }, { "rolled_by", record.rolledBy }, { "roll_nonce", record.rollNonce },
        { "withdraws", static_cast<std::uint64_t>(record.withdraws) },
        { "fencing", static_cast<std::uint64_t>(record.fencing) }, { "nonce", record.nonce }
    }.dump();
}

std::optional<VersionRecord> decodeVersion(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        const auto state = parseState(json.at("state").get<std::string>());
        if (!state)
            return std::nullopt;
        return VersionRecord { .proof = json.at("proof").get<Proof>(),
            .state = *state,
            .author = json.at("author").get<std::string>(),
            .proposeNonce = json.at("propose_nonce").get<std::string>(),
            .rolledBy = json.at("rolled_by").get<std::string>(),
            .rollNonce = json.at("roll_nonce").get<std::string>(),
            .withdraws = internal::versionAt(json, "withdraws"),
            .fencing = base::FencingNumber { json.at("fencing").get<std::uint64_t>() },
            .nonce = json.at("nonce").get<std::string>() };
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

store::RowKey headKey() { return { .table = std::string { internal::tableName }, .key = "head" }; }

store::RowKey versionKey(base::BundleVersion version)
{
    // Twelve digits keep the key order equal to the version order.
    std::array<char, 32> key {};
    std::snprintf(key.data(), key.size(), "v/%012llu", static_cast<unsigned long long>(version));
    return { .table = std::string { internal::tableName }, .key = key.data() };
}

} // namespace chivewinch::bundle
