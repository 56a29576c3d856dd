#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace chivewinch::base {

/** 64-bit XXH3 hash. Not cryptographically secure. */
[[nodiscard]] std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/** Combines two hashes; the result depends on their order. */
[[nodiscard]] std::uint64_t combineHash(std::uint64_t left, std::uint64_t right) noexcept;

/** Incremental XXH3 hash; the digest equals hash64 of the concatenated input. */
class StreamHash {
public:
    StreamHash();
    StreamHash(StreamHash&&) noexcept;
    StreamHash& operator=(StreamHash&&) noexcept;
    ~StreamHash();

    void update(std::string_view bytes) noexcept;
    /** Hash of all bytes passed to update() so far; more bytes may follow. */
    [[nodiscard]] std::uint64_t digest() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace chivewinch::base
