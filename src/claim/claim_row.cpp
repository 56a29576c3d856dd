#include "claim/claim_row.hpp"

#include "wire/parse.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <vector>

namespace chivewinch::claim {

namespace internal {

using Json = nlohmann::json;

constexpr const char* tableName = "claims";

Json::binary_t toBinary(const std::string& bytes)
{
    return Json::binary_t { std::vector<std::uint8_t> { bytes.begin(), bytes.end() } };
}

std::string toString(const Json::binary_t& bytes) { return { bytes.begin(), bytes.end() }; }

ClaimRow readRow(const Json& map)
{
    const auto at = std::chrono::milliseconds { map.at("t").get<std::int64_t>() };
    ClaimRow row { .nonce = map.at("n").get<std::uint64_t>(),
        .bodyHash = toString(map.at("b").get_binary()),
        .state = static_cast<ClaimState>(map.at("s").get<std::uint8_t>()),
        .entry = toString(map.at("e").get_binary()),
        .at = base::WallTime { at } };
    if (map.contains("a"))
        row.answer.bytes = toString(map.at("a").get_binary());
    if (map.contains("o"))
        row.answer.object = toString(map.at("o").get_binary());
    return row;
}

} // namespace internal

store::RowKey rowKey(const ClaimKey& key)
{
    // The length prefix distinguishes team "a:b" with key "c" from team "a" with key "b:c".
    return { .table = internal::tableName, .key = std::to_string(key.team.size()) + ':' + key.team + ':' + key.key };
}

std::string encode(const ClaimRow& row)
{
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(row.at.time_since_epoch());
    internal::Json map { { "n", row.nonce }, { "b", internal::toBinary(row.bodyHash) },
        { "s", static_cast<std::uint8_t>(row.state) }, { "e", internal::toBinary(row.entry) }, { "t", at.count() } };
    if (row.answer.bytes)
        map["a"] = internal::toBinary(*row.answer.bytes);
    if (!row.answer.object.empty())
        map["o"] = internal::toBinary(row.answer.object);
    std::string value;
    internal::Json::to_msgpack(map, value);
    return value;
}

std::optional<ClaimRow> decode(std::string_view value)
{
    const auto map = wire::parseMsgpack(value);
    if (!map.is_object())
        return std::nullopt;
    try {
        auto row = internal::readRow(map);
        return row.state <= ClaimState::Unknown ? std::optional { std::move(row) } : std::nullopt;
    } catch (const internal::Json::exception&) {
        return std::nullopt;
    }
}

} // namespace chivewinch::claim
