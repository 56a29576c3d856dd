#pragma once

#include "base/id.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chivewinch::bundle {

/** Format number that this version reads and writes. */
inline constexpr std::uint64_t formatNumber = 1;

enum class TargetKind : std::uint8_t { Engine, Service };

/** How a shared cost is divided between owners. */
enum class CostRule : std::uint8_t { ByUse, Equal };

/** A paying customer of the installation. */
struct Owner {
    base::OwnerId id;
    std::string name;
    std::string publicKey; ///< Ed25519 public key, 64 hexadecimal digits.
    std::uint64_t skewWeight = 1; ///< Weight of step-time skew in expert planning.
    std::uint64_t rebalancingWeight = 1; ///< Weight of moved expert weights in expert planning.
    std::uint64_t admissionWeight = 1; ///< Share of capacity under overload.

    bool operator==(const Owner&) const = default;
};

struct Zone {
    base::ZoneId id;
    std::string region;
    std::uint64_t expectedEntries = 3;

    bool operator==(const Zone&) const = default;
};

struct Model {
    std::string id;
    base::OwnerId owner; ///< Empty for a model that all owners share.
    std::string version = "1";

    bool operator==(const Model&) const = default;
};

/** Ranks that run one model in lock-step on an expert map. */
struct ModelGroup {
    std::string id;
    base::OwnerId owner; ///< Empty for a shared group.
    std::string model;
    std::uint64_t ranks = 1;
    std::uint64_t layers = 1;
    std::uint64_t experts = 1; ///< Per layer.
    std::uint64_t rankMemoryMib = 0; ///< Memory of one rank for expert weights.
    std::uint64_t expertSizeMib = 0; ///< Weights of one expert in one layer.

    bool operator==(const ModelGroup&) const = default;
};

/** Initial expert map of one layer of a group. Layers without an initial map use the round-robin map. */
struct ExpertLayer {
    std::string group;
    std::uint64_t layer = 0;
    /** Expert in each slot; slot s belongs to rank s / slotsPerRank. */
    std::vector<std::uint32_t> slots;

    bool operator==(const ExpertLayer&) const = default;
};

/** A back end with one agent in front of it. */
struct Target {
    base::TargetId id;
    base::OwnerId owner; ///< Empty for a shared target.
    TargetKind kind = TargetKind::Engine;
    std::string model; ///< For an engine.
    std::string service; ///< For a service.
    base::ZoneId zone;
    std::string address; ///< IP address of the agent.
    std::uint64_t port = 0;
    std::uint64_t capacity = 8; ///< Requests in flight.
    bool checksFencing = false; ///< The target itself refuses commands with an old fencing number.
    bool canResume = false; ///< The engine resumes a stream from a token count.

    bool operator==(const Target&) const = default;
};

/** A plain service and its calls that must run at most once. */
struct Service {
    std::string id;
    base::OwnerId owner; ///< Empty for a shared service.
    std::vector<std::string> nonRepeatable; ///< "METHOD /path/pattern".

    bool operator==(const Service&) const = default;
};

struct Team {
    base::TeamId id;
    base::OwnerId owner;
    std::string keyHash; ///< SHA-256 of the team key, 64 hexadecimal digits.
    std::uint64_t rate = 10; ///< Requests per second over all entries.
    std::uint64_t concurrency = 10; ///< Requests in flight over all entries.
    std::uint64_t priority = 5; ///< From 0 (shed first) to 9 (shed last).
    std::vector<std::string> models; ///< Allowed models; "*" allows all of the owner and all shared ones.
    std::vector<std::string> services; ///< Allowed services; "*" allows all of the owner and all shared ones.

    bool operator==(const Team&) const = default;
};

struct CostAttribution {
    CostRule sharedTargets = CostRule::ByUse;
    CostRule rebalancing = CostRule::ByUse;
    CostRule spillOver = CostRule::ByUse;

    bool operator==(const CostAttribution&) const = default;
};

/** One complete configuration. parse and decode sort each list by key. */
struct Bundle {
    std::vector<Owner> owners;
    std::vector<Zone> zones;
    std::vector<Model> models;
    std::vector<ModelGroup> groups;
    std::vector<ExpertLayer> expertLayers;
    std::vector<Target> targets;
    std::vector<Service> services;
    std::vector<Team> teams;
    CostAttribution cost;

    bool operator==(const Bundle&) const = default;
};

/** Expert replicas of each layer that fit into one rank's memory. */
[[nodiscard]] std::uint64_t slotsPerRank(const ModelGroup& group) noexcept;

} // namespace chivewinch::bundle
