#pragma once

#include "gateway/configuration.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivewinch::gateway {

/** A configuration with lookup tables for routes and teams; immutable. */
class Snapshot {
public:
    explicit Snapshot(Configuration configuration);

    /** Route of the host with the longest prefix that matches the path; nullptr if none matches. */
    [[nodiscard]] const Route* route(std::string_view host, std::string_view path) const;
    /** Team that owns the key; nullptr if the key is unknown. */
    [[nodiscard]] const Team* teamOf(std::string_view key) const;
    /** Picks a pool by weight for a fraction, in [0, 1), of the total weight; empty if all weights are 0. */
    [[nodiscard]] static std::string_view pickPool(const Route& route, double fraction) noexcept;

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

/** Holds the snapshot in force; only a newer version replaces it. */
class SnapshotHolder {
public:
    /** Puts the configuration in force; returns false if its version is not newer than the current one. */
    bool replaceIfNewer(Configuration configuration);
    [[nodiscard]] std::shared_ptr<const Snapshot> current() const noexcept { return this->snapshot; }

private:
    std::shared_ptr<const Snapshot> snapshot;
};

} // namespace chivewinch::gateway
