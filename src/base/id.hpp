#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::base {

class RandomSource;

using OwnerId = std::string;
using TargetId = std::string;
using TeamId = std::string;
using ZoneId = std::string;

/** Start time of a process in nanoseconds since the epoch; increases with each restart at the same address. */
enum class Incarnation : std::uint64_t {};
enum class BundleVersion : std::uint64_t {};
enum class FencingNumber : std::uint64_t {};

/** Identity of one caller's request, unique across all entries. */
struct RequestId {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const RequestId&) const = default;
};

/** Identity of one attempt to run a request on a target. Attempt numbers start at 1. */
struct AttemptId {
    RequestId request;
    std::uint32_t number = 0;

    auto operator<=>(const AttemptId&) const = default;
};

[[nodiscard]] RequestId randomRequestId(RandomSource& random);

/** Text form: 32 lower-case hexadecimal digits. */
[[nodiscard]] std::string toString(const RequestId& id);

/** Inverse of toString; nullopt unless the text is exactly 32 hexadecimal digits. */
[[nodiscard]] std::optional<RequestId> parseRequestId(std::string_view text);

} // namespace chivewinch::base

template <> struct std::hash<chivewinch::base::RequestId> {
    std::size_t operator()(const chivewinch::base::RequestId& id) const noexcept
    {
        return id.low ^ (id.high * 0x9E3779B97F4A7C15ULL);
    }
};

template <> struct std::hash<chivewinch::base::AttemptId> {
    std::size_t operator()(const chivewinch::base::AttemptId& id) const noexcept
    {
        return std::hash<chivewinch::base::RequestId> {}(id.request) + id.number * 0xBF58476D1CE4E5B9ULL;
    }
};
