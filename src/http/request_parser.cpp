#include "http/request_parser.hpp"

namespace chivewinch::http {

namespace beast = boost::beast;

void RequestParser::on_request_impl(
    beast::http::verb method, StringView methodText, StringView target, int version, ErrorCode& /*error*/)
{
    this->request.target(target);
    if (method == beast::http::verb::unknown)
        this->request.method_string(methodText);
    else
        this->request.method(method);
    this->request.version(static_cast<unsigned>(version));
}

void RequestParser::on_response_impl(int /*status*/, StringView /*reason*/, int /*version*/, ErrorCode& /*error*/) { }

void RequestParser::on_field_impl(beast::http::field known, StringView name, StringView value, ErrorCode& /*error*/)
{
    this->request.insert(known, name, value);
}

void RequestParser::on_header_impl(ErrorCode& /*error*/) { }

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t>& length, ErrorCode& /*error*/)
{
    // The body limit of the parser applies before this call.
    if (length)
        this->request.body().reserve(static_cast<std::size_t>(*length));
}

std::size_t RequestParser::on_body_impl(StringView body, ErrorCode& /*error*/)
{
    this->request.body().append(body.data(), body.size());
    return body.size();
}

void RequestParser::on_chunk_header_impl(std::uint64_t /*size*/, StringView /*extensions*/, ErrorCode& /*error*/) { }

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t /*remaining*/, StringView body, ErrorCode& error)
{
    return this->on_body_impl(body, error);
}

void RequestParser::on_finish_impl(ErrorCode& /*error*/) { }

} // namespace chivewinch::http
