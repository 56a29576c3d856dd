#include "bundle/call_pattern.hpp"

#include "bundle/digest.hpp"

namespace chivewinch::bundle {

namespace internal {

/** Removes and returns the first segment of a path. */
std::string_view takeSegment(std::string_view& path) noexcept
{
    path.remove_prefix(path.starts_with('/') ? 1 : 0);
    const auto segment = path.substr(0, path.find('/'));
    path.remove_prefix(segment.size());
    return segment;
}

std::optional<std::string> decodeSegment(std::string_view segment)
{
    std::string result;
    for (std::size_t at = 0; at < segment.size(); ++at) {
        if (segment[at] != '%') {
            result.push_back(segment[at]);
            continue;
        }
        const auto byte = fromHex(segment.substr(at + 1, 2));
        if (byte.size() != 1 || byte == "/" || byte[0] == '\0')
            return std::nullopt;
        result += byte;
        at += 2;
    }
    if (result == "." || result == "..")
        return std::nullopt;
    return result;
}

bool matchesPath(std::string_view pattern, std::string_view path)
{
    while (!pattern.empty() && pattern != "/") {
        const auto expected = takeSegment(pattern);
        if (expected == "**")
            return true;
        const auto found = takeSegment(path);
        if (found.empty() || (expected != "*" && expected != found))
            return false;
    }
    return path.empty() || path == "/";
}

} // namespace internal

std::optional<std::string> normalizePath(std::string_view path)
{
    path = path.substr(0, path.find_first_of("?#"));
    std::string result;
    while (!path.empty()) {
        const auto raw = internal::takeSegment(path);
        if (raw.empty())
            continue;
        const auto segment = internal::decodeSegment(raw);
        if (!segment)
            return std::nullopt;
        result.append("/").append(*segment);
    }
    return result.empty() ? "/" : result;
}

bool matchesCall(std::string_view pattern, std::string_view method, std::string_view path)
{
    const auto space = pattern.find(' ');
    const auto expected = pattern.substr(0, space);
    if (expected != "*" && expected != method)
        return false;
    return internal::matchesPath(pattern.substr(space + 1), path);
}

} // namespace chivewinch::bundle
