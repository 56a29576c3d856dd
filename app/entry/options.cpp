#include "entry/options.hpp"

namespace chivewinch::entry {

using settings::ValueType;
using namespace std::chrono_literals;

settings::Definition entryDefinition()
{
    return { "chivewinch-entry", "entry for callers",
        {
            { "instance", "Identity of this instance, unique in the installation", ValueType::text(), std::nullopt },
            { "zone", "Availability zone of this instance", ValueType::text(), std::nullopt },
            { "listen", "Address for callers, with /healthz, /readyz and /metrics", ValueType::endpoint(),
                std::nullopt },
            { "peer-listen", "Address for other entries", ValueType::endpoint(), std::nullopt },
            { "peers", "Addresses of other entries", ValueType::endpointList(), "" },
            { "table-service", "Address of the platform's table service", ValueType::endpoint(), std::nullopt },
            { "object-store", "Address of the platform's object store", ValueType::endpoint(), std::nullopt },
            { "owner-keys", "Public keys of the owners who sign bundles: owner=key,owner=key", ValueType::text(),
                std::nullopt },
            { "workers", "Threads that serve requests", ValueType::integer(1, 64), "2" },
            { "max-connections", "Largest number of simultaneous caller connections", ValueType::integer(1, 1'000'000),
                "20000" },
            { "max-body-bytes", "Largest request body", ValueType::integer(1024, 64 << 20), "8388608" },
            { "default-deadline", "Deadline of a request without X-Deadline-Ms", ValueType::duration(100ms, 1h),
                "60s" },
            { "max-deadline", "Largest deadline that a request may ask for", ValueType::duration(100ms, 1h), "10m" },
            { "attempt-timeout", "Longest silence of a target before another one is tried",
                ValueType::duration(100ms, 10min), "10s" },
            { "drain-timeout", "Longest wait for requests in flight at shutdown", ValueType::duration(1s, 1h), "120s" },
            { "heartbeat-interval", "Time between heartbeats", ValueType::duration(50ms, 10s), "1s" },
            { "usage-interval", "Time between usage segments", ValueType::duration(1s, 1h), "30s" },
            { "usage-key", "Ed25519 seed for usage segments, 64 hexadecimal digits; empty for a new key",
                ValueType::text(), "" },
            { "log-level", "Lowest level that is logged", ValueType::choice({ "debug", "info", "warning", "error" }),
                "info" },
        } };
}

EntryOptions entryOptions(const settings::Values& values)
{
    return {
        .instance = values.text("instance"),
        .zone = values.text("zone"),
        .listen = values.endpoint("listen"),
        .peerListen = values.endpoint("peer-listen"),
        .tableService = values.endpoint("table-service"),
        .objectStore = values.endpoint("object-store"),
        .peers = values.endpoints("peers"),
        .ownerKeys = values.text("owner-keys"),
        .workers = static_cast<std::size_t>(values.integer("workers")),
        .maxConnections = static_cast<std::size_t>(values.integer("max-connections")),
        .maxBodyBytes = static_cast<std::uint64_t>(values.integer("max-body-bytes")),
        .defaultDeadline = values.duration("default-deadline"),
        .maxDeadline = values.duration("max-deadline"),
        .attemptTimeout = values.duration("attempt-timeout"),
        .drainTimeout = values.duration("drain-timeout"),
        .heartbeatInterval = values.duration("heartbeat-interval"),
        .usageInterval = values.duration("usage-interval"),
        .usageKey = values.text("usage-key"),
    };
}

} // namespace chivewinch::entry
