#pragma once

#include "bundle/bundle.hpp"
#include "bundle/digest.hpp"
#include "bundle/proof.hpp"
#include "bundle/signature.hpp"

#include <algorithm>
#include <cstddef>
#include <string>

namespace chivewinch::bundle::sample {

inline const std::string firstOwner { "kilat-lilin" };
inline const std::string secondOwner { "lepelgilde" };

/** Key of an owner from a fixed seed. */
inline const PrivateKey& keyOf(const std::string& owner)
{
    static Error reason;
    static const auto first = *PrivateKey::fromSeed(std::string(32, '\1'), reason);
    static const auto second = *PrivateKey::fromSeed(std::string(32, '\2'), reason);
    return owner == firstOwner ? first : second;
}

inline const TrustedKeys& trustedKeys()
{
    static const TrustedKeys keys { { firstOwner, { keyOf(firstOwner).publicKey() } },
        { secondOwner, { keyOf(secondOwner).publicKey() } } };
    return keys;
}

inline Team team(std::size_t number)
{
    const auto id = "team-" + std::to_string(number);
    return { .id = id,
        .owner = number % 2 == 0 ? firstOwner : secondOwner,
        .keyHash = sha256Hex(id),
        .rate = 10 + number % 90,
        .models = { "*" },
        .services = { "*" } };
}

/** A valid bundle with this many teams and targets. */
inline Bundle bundle(std::size_t teams, std::size_t targets)
{
    Bundle result;
    for (const auto& owner : { firstOwner, secondOwner })
        result.owners.push_back({ .id = owner, .name = owner, .publicKey = keyOf(owner).publicKey() });
    for (const auto* zone : { "zone-a", "zone-b", "zone-c" })
        result.zones.push_back({ .id = zone, .region = "region" });
    result.models.push_back({ .id = "assistant" });
    result.services.push_back({ .id = "ordering", .nonRepeatable = { "POST /cartons" } });
    for (std::size_t i = 0; i < targets; ++i)
        result.targets.push_back({ .id = "target-" + std::to_string(i),
            .model = "assistant",
            .zone = result.zones[i % 3].id,
            .address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1),
            .port = 7400 });
    for (std::size_t i = 0; i < teams; ++i)
        result.teams.push_back(team(i));
    std::ranges::sort(result.targets, {}, &Target::id);
    std::ranges::sort(result.teams, {}, &Team::id);
    return result;
}

/** A valid bundle in which one team has the given rate. */
inline Bundle withRate(std::uint64_t rate)
{
    auto result = bundle(30, 6);
    result.teams[0].rate = rate;
    return result;
}

/** Proof signed by both owners. */
inline Proof sign(Proof proof)
{
    for (const auto& owner : { firstOwner, secondOwner })
        proof.signatures[owner] = keyOf(owner).sign(statement(proof));
    return proof;
}

} // namespace chivewinch::bundle::sample
