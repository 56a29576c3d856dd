#include "entry/stored_answer.hpp"

#include "wire/parse.hpp"

#include <nlohmann/json.hpp>

namespace chivewinch::entry {

using Json = nlohmann::json;

std::string encodeAnswer(const http::Response& answer)
{
    const Json value { { "status", answer.status }, { "type", answer.contentType },
        { "body", Json::binary({ answer.body.begin(), answer.body.end() }) } };
    std::string bytes;
    Json::to_cbor(value, bytes);
    return bytes;
}

std::optional<http::Response> decodeAnswer(std::string_view bytes)
{
    try {
        const auto value = wire::parseCbor(bytes);
        const auto& body = value.at("body").get_binary();
        http::Response answer;
        answer.status = value.at("status").get<unsigned>();
        answer.contentType = value.at("type").get<std::string>();
        answer.body.assign(body.begin(), body.end());
        return answer;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace chivewinch::entry
