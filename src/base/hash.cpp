#define XXH_STATIC_LINKING_ONLY
#include "base/hash.hpp"

#include <xxhash.h>

namespace chivewinch::base {

struct StreamHash::State {
    XXH3_state_t value;
};

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t combineHash(std::uint64_t left, std::uint64_t right) noexcept
{
    const std::uint64_t words[] = { left, right };
    return XXH3_64bits(static_cast<const void*>(words), sizeof(words));
}

StreamHash::StreamHash()
    : state { std::make_unique<State>() }
{
    XXH3_64bits_reset(&this->state->value);
}

StreamHash::StreamHash(StreamHash&&) noexcept = default;
StreamHash& StreamHash::operator=(StreamHash&&) noexcept = default;
StreamHash::~StreamHash() = default;

void StreamHash::update(std::string_view bytes) noexcept
{
    XXH3_64bits_update(&this->state->value, bytes.data(), bytes.size());
}

std::uint64_t StreamHash::digest() const noexcept { return XXH3_64bits_digest(&this->state->value); }

} // namespace chivewinch::base
