#include "bundle/proof.hpp"

#include "bundle/signature.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace chivewinch::bundle {

std::string statement(const Proof& proof)
{
    return "chivewinch bundle\nversion " + std::to_string(static_cast<std::uint64_t>(proof.version)) + "\nbase "
        + std::to_string(static_cast<std::uint64_t>(proof.base)) + "\ncontent " + proof.content + "\n";
}

bool verifyProof(const Proof& proof, const TrustedKeys& keys, Error& reason)
{
    const auto message = statement(proof);
    for (const auto& [owner, publicKeys] : keys) {
        const auto found = proof.signatures.find(owner);
        if (found == proof.signatures.end()) {
            reason = { .code = ErrorCode::MissingSignature, .detail = "owner " + owner + " has not signed" };
            return false;
        }
        const auto matches = [&](const auto& key) { return verify(key, message, found->second); };
        if (std::ranges::none_of(publicKeys, matches)) {
            reason = { .code = ErrorCode::BadSignature, .detail = "signature of owner " + owner + " does not match" };
            return false;
        }
    }
    if (keys.empty())
        reason = { .code = ErrorCode::MissingSignature, .detail = "no trusted keys are set" };
    return !keys.empty();
}

void to_json(nlohmann::json& json, const Proof& proof)
{
    json = { { "version", static_cast<std::uint64_t>(proof.version) },
        { "base", static_cast<std::uint64_t>(proof.base) }, { "content", proof.content },
        { "signatures", proof.signatures } };
}

void from_json(const nlohmann::json& json, Proof& proof)
{
    proof.version = base::BundleVersion { json.at("version").get<std::uint64_t>() };
    proof.base = base::BundleVersion { json.at("base").get<std::uint64_t>() };
    json.at("content").get_to(proof.content);
    json.at("signatures").get_to(proof.signatures);
}

} // namespace chivewinch::bundle
