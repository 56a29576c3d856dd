#include "http/shedding.hpp"

#include <algorithm>
#include <tuple>
#include <unordered_map>

namespace chivewinch::http {

std::optional<std::size_t> connectionToClose(std::span<const ConnectionView> connections)
{
    std::unordered_map<std::uint64_t, std::size_t> bySource;
    for (const auto& connection : connections) {
        if (connection.state != ConnectionState::Serving)
            ++bySource[connection.source];
    }
    std::optional<std::size_t> chosen;
    const auto rank = [&](const ConnectionView& connection) {
        // Smaller is closed earlier.
        return std::tuple { -static_cast<std::int64_t>(bySource.at(connection.source)), connection.state,
            connection.since };
    };
    for (std::size_t index = 0; index < connections.size(); ++index) {
        const auto& connection = connections[index];
        if (connection.state == ConnectionState::Serving)
            continue;
        if (!chosen || rank(connection) < rank(connections[*chosen]))
            chosen = index;
    }
    return chosen;
}

std::optional<std::size_t> unfinishedRequestToClose(std::span<const ConnectionView> connections, std::size_t bytes)
{
    std::optional<std::size_t> chosen;
    for (std::size_t index = 0; index < connections.size(); ++index) {
        const auto& connection = connections[index];
        if (connection.state != ConnectionState::Receiving || connection.bytes / 2 < bytes)
            continue;
        if (!chosen || connection.bytes > connections[*chosen].bytes)
            chosen = index;
    }
    return chosen;
}

} // namespace chivewinch::http
