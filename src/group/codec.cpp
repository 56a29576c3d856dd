#include "group/codec.hpp"

#include <nlohmann/json.hpp>

namespace chivewinch::group {

namespace internal {

using Json = nlohmann::json;

template <typename Decode>
auto decodeWith(const std::string& body, Decode decode) -> std::optional<decltype(decode(std::declval<const Json&>()))>
{
    try {
        return decode(Json::parse(body));
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace internal

std::string encode(const ExpertCounts& counts)
{
    return internal::Json { { "epoch", counts.epoch }, { "tokens", counts.tokens }, { "pace", counts.pace } }.dump();
}

std::optional<ExpertCounts> decodeCounts(const std::string& body)
{
    return internal::decodeWith(body, [](const internal::Json& value) {
        return ExpertCounts { .epoch = value.at("epoch").get<std::uint64_t>(),
            .tokens = value.at("tokens").get<std::vector<std::uint64_t>>(),
            .pace = value.at("pace").get<double>() };
    });
}

std::string encode(const RankExperts& experts)
{
    return internal::Json {
        { "epoch", experts.epoch }, { "version", experts.version }, { "layers", experts.layers }
    }.dump();
}

std::optional<RankExperts> decodeExperts(const std::string& body)
{
    return internal::decodeWith(body, [](const internal::Json& value) {
        return RankExperts { .epoch = value.at("epoch").get<std::uint64_t>(),
            .version = value.at("version").get<std::uint64_t>(),
            .layers = value.at("layers").get<std::vector<std::vector<std::uint16_t>>>() };
    });
}

} // namespace chivewinch::group
