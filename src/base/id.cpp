#include "base/id.hpp"

#include "base/random.hpp"

#include <array>
#include <charconv>
#include <cstdio>

namespace chivewinch::base {

namespace internal {

constexpr std::size_t hexDigitsPerWord = 16;

std::optional<std::uint64_t> parseHexWord(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value, 16);
    if (result.ec != std::errc {} || result.ptr != end)
        return std::nullopt;
    return value;
}

} // namespace internal

RequestId randomRequestId(RandomSource& random)
{
    const auto high = random.next();
    return { .high = high, .low = random.next() };
}

std::string toString(const RequestId& id)
{
    std::array<char, 2 * internal::hexDigitsPerWord + 1> text {};
    std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(id.high),
        static_cast<unsigned long long>(id.low));
    return text.data();
}

std::optional<RequestId> parseRequestId(std::string_view text)
{
    if (text.size() != 2 * internal::hexDigitsPerWord)
        return std::nullopt;
    const auto high = internal::parseHexWord(text.substr(0, internal::hexDigitsPerWord));
    const auto low = internal::parseHexWord(text.substr(internal::hexDigitsPerWord));
    if (!high || !low)
        return std::nullopt;
    return RequestId { .high = *high, .low = *low };
}

} // namespace chivewinch::base
