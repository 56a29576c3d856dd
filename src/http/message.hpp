#pragma once

#include "http/fields.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chivewinch::http {

template <typename Result> using Task = boost::asio::awaitable<Result>;

using Request = boost::beast::http::request<boost::beast::http::string_body, Fields>;
using Headers = std::vector<std::pair<std::string, std::string>>;

/** A complete response. */
struct Response {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    Headers headers;

    bool operator==(const Response&) const = default;
};

[[nodiscard]] inline std::string_view view(boost::beast::string_view text) noexcept
{
    return { text.data(), text.size() };
}

/** Value of a request header field; empty if absent. */
[[nodiscard]] inline std::string_view headerOf(const Request& request, std::string_view name)
{
    return view(request[boost::beast::string_view { name.data(), name.size() }]);
}

/** Path of a request without its query. */
[[nodiscard]] inline std::string_view pathOf(const Request& request)
{
    const auto target = view(request.target());
    return target.substr(0, target.find('?'));
}

/** Query of a request without the question mark. */
[[nodiscard]] inline std::string_view queryOf(const Request& request)
{
    const auto target = view(request.target());
    const auto mark = target.find('?');
    return mark == std::string_view::npos ? std::string_view {} : target.substr(mark + 1);
}

} // namespace chivewinch::http
