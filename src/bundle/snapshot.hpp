#pragma once

#include "base/id.hpp"
#include "bundle/bundle.hpp"

#include <functional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivewinch::bundle {

/** A bundle in force with the lookups of the request path. Immutable, so that threads can share it without a lock. */
class Snapshot {
public:
    Snapshot(Bundle bundle, base::BundleVersion version, std::string contentHash);
    Snapshot(const Snapshot&) = delete;
    Snapshot& operator=(const Snapshot&) = delete;
    ~Snapshot() = default;

    [[nodiscard]] const Bundle& bundle() const noexcept { return this->value; }
    [[nodiscard]] base::BundleVersion version() const noexcept { return this->number; }
    [[nodiscard]] const std::string& contentHash() const noexcept { return this->hash; }

    /** Team of a bearer key, or null. */
    [[nodiscard]] const Team* teamByKey(std::string_view key) const;
    /** Team of the SHA-256 of its key in hexadecimal, or null. */
    [[nodiscard]] const Team* teamByKeyHash(std::string_view keyHash) const;
    [[nodiscard]] const Owner* owner(std::string_view id) const;
    [[nodiscard]] const Zone* zone(std::string_view id) const;
    [[nodiscard]] const Model* model(std::string_view id) const;
    [[nodiscard]] const ModelGroup* group(std::string_view id) const;
    [[nodiscard]] const Service* service(std::string_view id) const;
    [[nodiscard]] const Target* target(std::string_view id) const;

    /** Targets that run a model or service, in the order of their ids. */
    [[nodiscard]] const std::vector<const Target*>& targetsByModel(std::string_view model) const;
    [[nodiscard]] const std::vector<const Target*>& targetsByService(std::string_view service) const;

    /** Whether a team may use a model or service. */
    [[nodiscard]] bool allowsModel(const Team& team, std::string_view model) const;
    [[nodiscard]] bool allowsService(const Team& team, std::string_view service) const;

    /**
     * Whether a call of a service may run more than once. The path is relative to the service and may have a query.
     * False for an unknown service and for a path that services may interpret differently.
     */
    [[nodiscard]] bool isRepeatable(std::string_view service, std::string_view method, std::string_view path) const;

    /** Sum of expected entries over all zones. */
    [[nodiscard]] std::uint64_t expectedEntries() const noexcept { return this->entries; }

private:
    template <typename Record> using Index = std::unordered_map<std::string_view, const Record*>;
    using TargetIndex = std::unordered_map<std::string_view, std::vector<const Target*>>;

    Bundle value;
    base::BundleVersion number;
    std::string hash;
    std::uint64_t entries = 0;
    Index<Team> teams;
    TargetIndex models;
    TargetIndex targetsByServiceId;
};

} // namespace chivewinch::bundle
