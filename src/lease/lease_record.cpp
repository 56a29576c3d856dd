#include "lease/lease_record.hpp"

#include <nlohmann/json.hpp>

namespace chivewinch::lease {

std::string encode(const LeaseRecord& record)
{
    return nlohmann::json {
        { "holder", record.holder }, { "nonce", record.nonce },
        { "fencing", static_cast<std::uint64_t>(record.fencing) }, { "duration_ms", record.duration.count() }
    }.dump();
}

std::optional<LeaseRecord> decode(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        return LeaseRecord { .holder = json.at("holder").get<std::string>(),
            .nonce = json.at("nonce").get<std::string>(),
            .fencing = base::FencingNumber { json.at("fencing").get<std::uint64_t>() },
            .duration = std::chrono::milliseconds { json.at("duration_ms").get<std::int64_t>() } };
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace chivewinch::lease
