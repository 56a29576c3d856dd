#pragma once

#include "standin/host.hpp"
#include "standin/prefix_cache.hpp"
#include "standin/slots.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace chivewinch::standin {

struct EngineOptions {
    std::string model;
    std::uint32_t slots = 8; ///< Number of requests that are generated concurrently.
    std::chrono::milliseconds tokenInterval { 5 };
    std::chrono::microseconds prefillPerToken {
        100
    }; ///< Prefill time of each prompt token that is not in the prefix cache.
    std::size_t cachedPrefixes = 256;
};

/** Stand-in for a model engine with the OpenAI-style completion API. */
class Engine final : public Host {
public:
    Engine(boost::asio::io_context& context, settings::Endpoint listen, Faults faults, EngineOptions options);

private:
    /** One generation request. */
    struct Job {
        std::string requestId;
        std::string prompt;
        std::uint64_t maxTokens = 16;
        std::uint64_t fromToken = 0;
        std::uint64_t promptTokens = 0;
        std::uint64_t cachedTokens = 0;
        std::int64_t created = 0;
        std::uint32_t priority = 0;
        bool chat = false;
        bool stream = false;
        bool includeUsage = false;
    };

    EngineOptions options;
    Slots slots;
    PrefixCache cache;
    std::uint64_t incarnation;
    std::uint64_t generatedTokens = 0;
    std::uint64_t cancelled = 0;
    std::map<std::string, std::uint64_t> runs;

    [[nodiscard]] http::Task<void> handle(const http::Request& request, http::ResponseWriter& writer) override;
    void onCrash() override;
    [[nodiscard]] std::optional<Job> parse(const http::Request& request, std::string& errorText) const;
    [[nodiscard]] http::Task<void> generate(Job job, http::ResponseWriter& writer);
    [[nodiscard]] http::Task<void> streamTokens(const Job& job, http::ResponseWriter& writer);
    [[nodiscard]] http::Task<void> sendCompletion(const Job& job, http::ResponseWriter& writer);
    [[nodiscard]] http::Task<bool> nextToken(std::uint64_t index);
    [[nodiscard]] std::string event(const Job& job, const std::string& text, bool last) const;
    [[nodiscard]] std::string usageEvent(const Job& job) const;
    [[nodiscard]] std::string loadReport() const;
    [[nodiscard]] std::string journal() const;
};

} // namespace chivewinch::standin
