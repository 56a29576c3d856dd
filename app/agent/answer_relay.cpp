#include "agent/answer_relay.hpp"

#include "wire/parse.hpp"

#include <nlohmann/json.hpp>

namespace chivewinch::agent {

namespace internal {

// The markers are searched as plain text. Parsing the JSON of every token would dominate the agent's CPU time.
constexpr std::string_view usageMarker = "\"usage\":{";
constexpr std::string_view tokenMarker = "\"finish_reason\":null";

} // namespace internal

AnswerRelay::Chunk AnswerRelay::append(std::string_view bytes)
{
    Chunk chunk;
    if (!this->options.isEventStream) {
        this->body += bytes;
        chunk.payload = bytes;
        return chunk;
    }
    this->splitter.append(bytes);
    while (const auto event = this->splitter.next())
        this->appendEvent(chunk, *event);
    return chunk;
}

void AnswerRelay::appendEvent(Chunk& chunk, const std::string& event)
{
    const auto data = http::eventData(event);
    if (data == http::streamEndData) {
        this->ended = true;
        return;
    }
    if (data.find(internal::usageMarker) != std::string_view::npos) {
        this->readUsage(data);
        if (!this->options.showUsage)
            return;
    }
    if (data.find(internal::tokenMarker) != std::string_view::npos)
        ++chunk.tokens;
    chunk.payload += event;
}

bool AnswerRelay::finish()
{
    if (this->options.isEventStream)
        return this->ended && this->splitter.rest().empty();
    this->readUsage(this->body);
    return true;
}

void AnswerRelay::recordFrame(const Chunk& chunk)
{
    ++this->frameCount;
    this->byteCount += chunk.payload.size();
    this->tokenCount += chunk.tokens;
    this->hash.update(chunk.payload);
}

void AnswerRelay::readUsage(std::string_view json)
{
    const auto value = wire::parseJson(json);
    if (!value.is_object() || !value.contains("usage") || !value["usage"].is_object())
        return;
    const auto& counts = value["usage"];
    wire::UsageCount usage;
    try {
        usage.set_prompt_tokens(counts.value("prompt_tokens", std::uint64_t { 0 }));
        usage.set_generated_tokens(counts.value("completion_tokens", std::uint64_t { 0 }));
        if (counts.contains("prompt_tokens_details"))
            usage.set_cached_tokens(counts["prompt_tokens_details"].value("cached_tokens", std::uint64_t { 0 }));
    } catch (const nlohmann::json::exception&) {
        return;
    }
    this->reportedUsage = usage;
}

wire::UsageCount AnswerRelay::usage() const
{
    if (this->reportedUsage)
        return *this->reportedUsage;
    wire::UsageCount counted;
    counted.set_generated_tokens(this->tokenCount);
    return counted;
}

} // namespace chivewinch::agent
