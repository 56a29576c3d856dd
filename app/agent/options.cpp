#include "agent/options.hpp"

namespace chivewinch::agent {

using settings::ValueType;
using namespace std::chrono_literals;

settings::Definition agentDefinition()
{
    return { "chivewinch-agent", "agent in front of one target",
        {
            { "instance", "Identity of this instance, unique in the installation", ValueType::text(), std::nullopt },
            { "zone", "Availability zone of this instance", ValueType::text(), std::nullopt },
            { "target", "Identity of the target, as in the bundle", ValueType::text(), std::nullopt },
            { "kind", "Kind of the target", ValueType::choice({ "engine", "service" }), "engine" },
            { "listen", "Address for entries", ValueType::endpoint(), std::nullopt },
            { "http-listen", "Address of /healthz, /readyz and /metrics", ValueType::endpoint(), std::nullopt },
            { "target-endpoint", "Address of the target", ValueType::endpoint(), std::nullopt },
            { "object-store", "Address of the platform's object store", ValueType::endpoint(), std::nullopt },
            { "capacity", "Attempts that the target runs concurrently", ValueType::integer(1, 100'000), "8" },
            { "queue", "Attempts accepted beyond the capacity", ValueType::integer(0, 100'000), "8" },
            { "drain-timeout", "Maximum wait for attempts in flight at shutdown", ValueType::duration(1s, 1h), "60s" },
            { "heartbeat-interval", "Time between heartbeats", ValueType::duration(50ms, 10s), "1s" },
            { "probe-interval", "Time between load probes of the target", ValueType::duration(50ms, 10s), "250ms" },
            { "usage-interval", "Time between usage segments", ValueType::duration(1s, 1h), "5m" },
            { "usage-key", "Ed25519 seed for usage segments, 64 hexadecimal digits; empty to generate a key",
                ValueType::text(), "" },
            { "log-level", "Least level that is logged", ValueType::choice({ "debug", "info", "warning", "error" }),
                "info" },
        } };
}

AgentOptions agentOptions(const settings::Values& values)
{
    return {
        .instance = values.text("instance"),
        .zone = values.text("zone"),
        .target = values.text("target"),
        .kind = values.text("kind") == "engine" ? TargetKind::Engine : TargetKind::Service,
        .listen = values.endpoint("listen"),
        .httpListen = values.endpoint("http-listen"),
        .targetEndpoint = values.endpoint("target-endpoint"),
        .objectStore = values.endpoint("object-store"),
        .capacity = static_cast<std::uint32_t>(values.integer("capacity")),
        .queue = static_cast<std::uint32_t>(values.integer("queue")),
        .drainTimeout = values.duration("drain-timeout"),
        .heartbeatInterval = values.duration("heartbeat-interval"),
        .probeInterval = values.duration("probe-interval"),
        .usageInterval = values.duration("usage-interval"),
        .usageKey = values.text("usage-key"),
    };
}

} // namespace chivewinch::agent
