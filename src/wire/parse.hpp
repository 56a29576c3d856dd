#pragma once

#include <nlohmann/json.hpp>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string_view>

namespace chivewinch::wire {

/**
 * Deepest nesting of arrays and objects that is parsed. Reading CBOR and MessagePack and writing any value take stack
 * space for each level, so that a few hundred kilobytes from another writer could end the process.
 */
inline constexpr std::size_t maxNesting = 64;

namespace internal {

/** Builds a value; stops at the nesting limit. */
template <typename Json> class NestingLimit final : public nlohmann::detail::json_sax_dom_parser<Json> {
    using Base = nlohmann::detail::json_sax_dom_parser<Json>;

public:
    explicit NestingLimit(Json& value)
        : Base { value, false }
    {
    }

    // The parser calls these functions by their names.
    // NOLINTBEGIN(readability-identifier-naming)
    bool start_object(std::size_t length) { return ++this->depth <= maxNesting && Base::start_object(length); }
    bool start_array(std::size_t length) { return ++this->depth <= maxNesting && Base::start_array(length); }
    bool end_object()
    {
        --this->depth;
        return Base::end_object();
    }
    bool end_array()
    {
        --this->depth;
        return Base::end_array();
    }
    // NOLINTEND(readability-identifier-naming)

private:
    std::size_t depth = 0;
};

template <typename Json> [[nodiscard]] Json parse(std::string_view bytes, nlohmann::detail::input_format_t format)
{
    try {
        Json value;
        NestingLimit<Json> builder { value };
        if (Json::sax_parse(bytes.begin(), bytes.end(), &builder, format))
            return value;
    } catch (const nlohmann::json::exception&) {
        // A stated length exceeds what a container can hold.
    }
    return Json(nlohmann::detail::value_t::discarded);
}

} // namespace internal

/** Parses text; a discarded value if it is not JSON or is nested too deeply. */
template <typename Json = nlohmann::json> [[nodiscard]] Json parseJson(std::string_view text)
{
    return internal::parse<Json>(text, nlohmann::detail::input_format_t::json);
}

/** Parses bytes; a discarded value if they are not CBOR or are nested too deeply. */
[[nodiscard]] inline nlohmann::json parseCbor(std::string_view bytes)
{
    return internal::parse<nlohmann::json>(bytes, nlohmann::detail::input_format_t::cbor);
}

/** Parses bytes; a discarded value if they are not MessagePack or are nested too deeply. */
[[nodiscard]] inline nlohmann::json parseMsgpack(std::string_view bytes)
{
    return internal::parse<nlohmann::json>(bytes, nlohmann::detail::input_format_t::msgpack);
}

/** Throws std::out_of_range unless the value is an unsigned number that the type can hold. */
template <std::unsigned_integral Number = std::uint64_t> [[nodiscard]] Number parseUnsigned(const nlohmann::json& value)
{
    if (!value.is_number_unsigned())
        throw std::out_of_range { "value is not an unsigned number" };
    const auto number = value.template get<std::uint64_t>();
    if (number > std::numeric_limits<Number>::max())
        throw std::out_of_range { "number is too large" };
    return static_cast<Number>(number);
}

/** Decodes a parsed value; nullopt if it is discarded or does not have the structure that decode expects. */
template <typename Json, typename Decode>
[[nodiscard]] auto decodeParsed(const Json& value, Decode decode) -> std::optional<decltype(decode(value))>
{
    if (value.is_discarded())
        return std::nullopt;
    try {
        return decode(value);
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    } catch (const std::out_of_range&) {
        return std::nullopt;
    } catch (const std::length_error&) {
        return std::nullopt;
    }
}

} // namespace chivewinch::wire
