#include "daemon/identity.hpp"

#include "logging/event.hpp"

#include <string_view>
#include <utility>

namespace chivewinch::daemon {

base::Incarnation makeIncarnation(const base::Clock& clock) noexcept
{
    const auto sinceEpoch = std::chrono::duration_cast<std::chrono::nanoseconds>(clock.wallNow().time_since_epoch());
    return base::Incarnation { static_cast<std::uint64_t>(sinceEpoch.count()) };
}

std::optional<usage::SigningKey> usageKey(const std::string& seed, std::string& reason)
{
    if (seed.empty()) {
        auto generatedKey = usage::SigningKey::generate();
        const auto& bytes = generatedKey.publicKey();
        const std::string_view raw { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
        logging::Event { "usage_key_generated" }.field("public_key", usage::toHex(raw)).warning();
        return generatedKey;
    }
    usage::Error error;
    auto key = usage::SigningKey::fromHex(seed, error);
    if (!key)
        reason = "setting usage-key: " + error.detail;
    return key;
}

} // namespace chivewinch::daemon
