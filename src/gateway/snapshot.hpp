#pragma once

#include "gateway/configuration.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivewinch::gateway {

/** A configuration with the tables that requests need; immutable. */
class Snapshot {
public:
    explicit Snapshot(Configuration configuration);

    /** Route of the host with the longest prefix that begins the path; nullptr if none does. */
    [[nodiscard]] const Route* route(std::string_view host, std::string_view path) const;
    /** Team that holds the key; nullptr if none does. */
    [[nodiscard]] const Team* teamOf(std::string_view key) const;
    /** Pool for the point in [0, 1) of the weights; empty if the route has none. */
    [[nodiscard]] static std::string_view poolAt(const Route& route, double point) noexcept;

    [[nodiscard]] const Configuration& configuration() const noexcept { return this->content; }
    [[nodiscard]] std::uint64_t version() const noexcept { return this->content.version; }

private:
    struct StringHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view> {}(text); }
    };
    template <typename Value> using Table = std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

    Configuration content;
    Table<std::vector<const Route*>> byHost; ///< Longest prefix first.
    Table<const Team*> byKey;
};

/** The snapshot in force. It is only ever replaced by a newer version. */
class SnapshotHolder {
public:
    /** False if the version is not newer than the one in force. */
    bool offer(Configuration configuration);
    [[nodiscard]] std::shared_ptr<const Snapshot> current() const noexcept { return this->snapshot; }

private:
    std::shared_ptr<const Snapshot> snapshot;
};

} // namespace chivewinch::gateway
