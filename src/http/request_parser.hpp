#pragma once

#include "http/message.hpp"

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>

namespace chivewinch::http {

/** Parses a request; bounded only by its header and body limits. */
class RequestParser final : public boost::beast::http::basic_parser<true> {
public:
    [[nodiscard]] const Request& get() const noexcept { return this->request; }
    /** Returns the parsed request; the parser must not be used after that. */
    [[nodiscard]] Request release() noexcept { return std::move(this->request); }

private:
    using StringView = boost::beast::string_view;
    using ErrorCode = boost::beast::error_code;

    Request request;

    // NOLINTBEGIN(readability-identifier-naming)
    void on_request_impl(boost::beast::http::verb method, StringView methodText, StringView target, int version,
        ErrorCode& error) override;
    void on_response_impl(int status, StringView reason, int version, ErrorCode& error) override;
    void on_field_impl(boost::beast::http::field known, StringView name, StringView value, ErrorCode& error) override;
    void on_header_impl(ErrorCode& error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>& length, ErrorCode& error) override;
    std::size_t on_body_impl(StringView body, ErrorCode& error) override;
    void on_chunk_header_impl(std::uint64_t size, StringView extensions, ErrorCode& error) override;
    std::size_t on_chunk_body_impl(std::uint64_t remaining, StringView body, ErrorCode& error) override;
    void on_finish_impl(ErrorCode& error) override;
    // NOLINTEND(readability-identifier-naming)
};

} // namespace chivewinch::http
