#include "load/options.hpp"

namespace chivewinch::load {

using settings::ValueType;
using namespace std::chrono_literals;

settings::Definition loadDefinition()
{
    return { "chivewinch-load", "open-loop load with a check of every answer",
        {
            { "entries", "Addresses of entries, or of an engine for a direct run", ValueType::endpointList(),
                std::nullopt },
            { "rate", "Requests per second", ValueType::real(0.01, 1'000'000), "50" },
            { "duration", "Time during which requests are sent", ValueType::duration(100ms, 24h), "10s" },
            { "workers", "Threads", ValueType::integer(1, 64), "1" },
            { "model", "Model to ask; empty for none", ValueType::text(), "assistant" },
            { "model-key", "Team key for model requests", ValueType::text(), "" },
            { "service", "Order service to use; empty for none", ValueType::text(), "" },
            { "service-key", "Team key for orders", ValueType::text(), "" },
            { "journals", "Addresses of the order services, to check that each order ran at most once",
                ValueType::endpointList(), "" },
            { "order-share", "Share of the requests that are orders", ValueType::real(0, 1), "0" },
            { "stream-share", "Share of the model requests that are streamed", ValueType::real(0, 1), "0.8" },
            { "duplicate-share", "Share of the orders sent to two entries at once", ValueType::real(0, 1), "0" },
            { "min-tokens", "Least answer length", ValueType::integer(1, 100'000), "8" },
            { "max-tokens", "Greatest answer length", ValueType::integer(1, 100'000), "32" },
            { "prefixes", "Different prompt prefixes", ValueType::integer(1, 1'000'000), "50" },
            { "prefix-skew", "Zipf exponent of the popularity of prefixes", ValueType::real(0, 10), "1" },
            { "deadline", "Deadline of each request", ValueType::duration(10ms, 1h), "30s" },
            { "max-tries", "Times that a request is sent before it is given up", ValueType::integer(1, 100), "5" },
            { "seed", "Seed of the run; 0 for a random one", ValueType::integer(0, 9'000'000'000'000'000'000), "0" },
            { "output", "Form of the result", ValueType::choice({ "table", "json" }), "table" },
        } };
}

LoadOptions loadOptions(const settings::Values& values)
{
    return {
        .entries = values.endpoints("entries"),
        .rate = values.real("rate"),
        .duration = values.duration("duration"),
        .workers = static_cast<std::size_t>(values.integer("workers")),
        .model = values.text("model"),
        .modelKey = values.text("model-key"),
        .service = values.text("service"),
        .serviceKey = values.text("service-key"),
        .journals = values.endpoints("journals"),
        .orderShare = values.real("order-share"),
        .streamShare = values.real("stream-share"),
        .duplicateShare = values.real("duplicate-share"),
        .minTokens = static_cast<std::uint64_t>(values.integer("min-tokens")),
        .maxTokens = static_cast<std::uint64_t>(values.integer("max-tokens")),
        .prefixes = static_cast<std::size_t>(values.integer("prefixes")),
        .prefixSkew = values.real("prefix-skew"),
        .deadline = values.duration("deadline"),
        .maxTries = static_cast<std::uint32_t>(values.integer("max-tries")),
        .seed = static_cast<std::uint64_t>(values.integer("seed")),
        .jsonOutput = values.text("output") == "json",
    };
}

} // namespace chivewinch::load
