#include "gateway/forwarding.hpp"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace chivewinch::gateway {

namespace internal {

namespace beast = boost::beast;

// Header fields that apply to one connection only (RFC 9110, section 7.6.1), and framing fields, which are recreated.
constexpr std::array<std::string_view, 11> connectionFields { "Connection", "Keep-Alive", "Proxy-Connection", "TE",
    "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Proxy-Authenticate", "Proxy-Authorization",
    "Content-Length" };

// Upper bound of the time that a caller can state; it keeps sums of times from overflowing.
constexpr std::uint64_t maxTimeLeftMs = 3'600'000;

// Bounds what a single request can add to the tables of parts.
constexpr std::size_t maxSharedParts = 16;

bool equalsIgnoreCase(std::string_view left, std::string_view right) { return boost::algorithm::iequals(left, right); }

bool isConnectionField(std::string_view name)
{
    return std::ranges::any_of(connectionFields, [name](auto known) { return equalsIgnoreCase(known, name); });
}

/** Names of the header fields that the Connection field lists; they apply to this connection only. */
template <typename Fields> std::vector<std::string> listedFields(const Fields& fields)
{
    std::vector<std::string> names;
    for (const auto& token : beast::http::token_list { fields })
        names.emplace_back(token.data(), token.size());
    return names;
}

std::string normalizeHost(std::string_view host)
{
    // An IPv6 address is enclosed in brackets; only a colon after the closing bracket begins the port.
    const auto bracket = host.rfind(']');
    const auto colon = host.rfind(':');
    if (colon != std::string_view::npos && (bracket == std::string_view::npos || colon > bracket))
        host = host.substr(0, colon);
    std::string lower { host };
    std::ranges::transform(lower, lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

/** IDs of all parts but the last one, which belongs to the request itself, from a list of ID:TOKENS. */
std::vector<std::string_view> parseSharedParts(std::string_view list)
{
    std::vector<std::string_view> parts;
    while (parts.size() < maxSharedParts) {
        const auto end = list.find(',');
        if (end == std::string_view::npos)
            break;
        auto id = list.substr(0, std::min(end, list.find(':')));
        while (!id.empty() && id.front() == ' ')
            id.remove_prefix(1);
        if (!id.empty())
            parts.push_back(id);
        list.remove_prefix(end + 1);
    }
    return parts;
}

void setField(http::Request& request, const std::string& name, std::string_view value)
{
    request.set(name, beast::string_view { value.data(), value.size() });
}

} // namespace internal

std::optional<std::uint64_t> parseNumber(std::string_view text) noexcept
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (text.empty() || error != std::errc {} || stop != end)
        return std::nullopt;
    return value;
}

RequestHead parseRequestHead(const http::Request& request, const HeaderNames& names)
{
    RequestHead head {
        .id = http::headerOf(request, names.requestId),
        .host = internal::normalizeHost(http::headerOf(request, "Host")),
        .path = http::pathOf(request),
        .key = http::headerOf(request, names.apiKey),
        .lastEventId = parseNumber(http::headerOf(request, names.lastEventId)),
        .sharedParts = internal::parseSharedParts(http::headerOf(request, names.promptParts)),
    };
    if (const auto milliseconds = parseNumber(http::headerOf(request, names.timeLeft)))
        head.timeLeft = std::chrono::milliseconds { std::min(*milliseconds, internal::maxTimeLeftMs) };
    return head;
}

http::Request forwardRequest(const http::Request& request, const HeaderNames& names, const ForwardOptions& options)
{
    http::Request copy;
    copy.version(11);
    copy.method_string(request.method_string());
    copy.target(request.target());
    const auto listed = internal::listedFields(request[boost::beast::http::field::connection]);
    const std::array<const std::string*, 5> gatewayFields { &names.apiKey, &names.team, &names.expectedTarget,
        &names.targetPriority, &names.timeLeft };
    for (const auto& field : request) {
        const auto name = http::view(field.name_string());
        const auto matchesName = [name](const auto& known) { return internal::equalsIgnoreCase(known, name); };
        // The Connection field must not remove the request ID: without it, the answer could not be matched to the
        // request.
        const bool isListed = std::ranges::any_of(listed, matchesName)
            && !internal::equalsIgnoreCase(name, names.requestId) && !internal::equalsIgnoreCase(name, "Host");
        const bool isGatewayField = std::ranges::any_of(
            gatewayFields, [&](const auto* known) { return internal::equalsIgnoreCase(*known, name); });
        if (internal::isConnectionField(name) || isListed || isGatewayField)
            continue;
        copy.insert(field.name_string(), field.value());
    }
    internal::setField(copy, names.expectedTarget, options.target);
    internal::setField(copy, names.timeLeft, std::to_string(std::max<std::int64_t>(options.timeLeft.count(), 1)));
    if (!options.team.empty())
        internal::setField(copy, names.team, options.team);
    if (options.lastEventId)
        internal::setField(copy, names.lastEventId, std::to_string(*options.lastEventId));
    if (options.targetPriority)
        internal::setField(copy, names.targetPriority, std::to_string(*options.targetPriority));
    return copy;
}

http::Headers forwardHeaders(const http::Headers& headers)
{
    std::vector<std::string> listed;
    for (const auto& [name, value] : headers) {
        if (internal::equalsIgnoreCase(name, "Connection")) {
            for (auto& item : internal::listedFields(boost::beast::string_view { value.data(), value.size() }))
                listed.push_back(std::move(item));
        }
    }
    http::Headers kept;
    for (const auto& field : headers) {
        const auto& name = field.first;
        const bool isListed = std::ranges::any_of(
            listed, [&name](const auto& known) { return internal::equalsIgnoreCase(known, name); });
        if (!internal::isConnectionField(name) && !isListed)
            kept.push_back(field);
    }
    return kept;
}

} // namespace chivewinch::gateway
