#pragma once

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <string>
#include <string_view>

namespace chivewinch::http {

/** Percent-encodes a text for use as a value in a query string. */
[[nodiscard]] inline std::string encodeQueryValue(std::string_view text)
{
    return boost::urls::encode(boost::urls::string_view { text.data(), text.size() }, boost::urls::unreserved_chars);
}

} // namespace chivewinch::http
