#pragma once

/** HTTP status codes that this project sends or handles (RFC 9110, section 15). */
namespace chivewinch::http::status {

constexpr unsigned ok = 200;
constexpr unsigned accepted = 202;
constexpr unsigned badRequest = 400;
constexpr unsigned notFound = 404;
constexpr unsigned gone = 410;
constexpr unsigned preconditionFailed = 412;
constexpr unsigned misdirected = 421;
constexpr unsigned unavailable = 503;

/** True for numbers of the five classes; all others are invalid (section 15). */
constexpr bool isValid(unsigned status) noexcept { return status >= 100 && status < 600; }

} // namespace chivewinch::http::status
