#include "bundle/key_setting.hpp"

#include "bundle/digest.hpp"

#include <algorithm>

namespace chivewinch::bundle {

namespace internal {

constexpr std::size_t publicKeyBytes = 32;

} // namespace internal

std::optional<TrustedKeys> parseTrustedKeys(std::string_view text, Error& reason)
{
    TrustedKeys keys;
    while (!text.empty()) {
        const auto item = text.substr(0, text.find(','));
        text.remove_prefix(std::min(item.size() + 1, text.size()));
        const auto equals = item.find('=');
        const auto key = equals == std::string_view::npos ? std::string_view {} : item.substr(equals + 1);
        if (equals == 0 || fromHex(key).size() != internal::publicKeyBytes) {
            reason = { .code = ErrorCode::Invalid,
                .detail = "\"" + std::string { item } + "\" must be OWNER=KEY, where KEY is 64 hexadecimal digits" };
            return std::nullopt;
        }
        keys[std::string { item.substr(0, equals) }].emplace_back(key);
    }
    return keys;
}

} // namespace chivewinch::bundle
