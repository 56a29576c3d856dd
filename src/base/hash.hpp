#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace chivewinch::base {

/** 64-bit XXH3 hash. Not for security. */
[[nodiscard]] std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/** Mixes two hashes; the order matters. */
[[nodiscard]] std::uint64_t combineHash(std::uint64_t left, std::uint64_t right) noexcept;

/** XXH3 over a stream of bytes; equal to hash64 of all bytes together. */
class StreamHash {
public:
    StreamHash();
    StreamHash(StreamHash&&) noexcept;
    StreamHash& operator=(StreamHash&&) noexcept;
    ~StreamHash();

    void update(std::string_view bytes) noexcept;
    /** Hash of all bytes so far; more bytes may follow. */
    [[nodiscard]] std::uint64_t digest() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace chivewinch::base
