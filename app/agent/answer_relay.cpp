#include "agent/answer_relay.hpp"

#include <nlohmann/json.hpp>

namespace chivewinch::agent {

namespace internal {

// The markers are searched as plain text. Parsing the JSON of every token would dominate the agent's CPU time.
constexpr std::string_view usageMark = "\"usage\":{";
constexpr std::string_view tokenMark = "\"finish_reason\":null";

} // namespace internal

AnswerRelay::Piece AnswerRelay::append(std::string_view bytes)
{
    Piece piece;
    if (!this->options.isEventStream) {
        this->body += bytes;
        piece.payload = bytes;
        return piece;
    }
    this->splitter.append(bytes);
    while (const auto event = this->splitter.next())
        this->appendEvent(piece, *event);
    return piece;
}

void AnswerRelay::appendEvent(Piece& piece, const std::string& event)
{
    const auto data = http::eventData(event);
    if (data == http::streamEndData) {
        this->ended = true;
        return;
    }
    if (data.find(internal::usageMark) != std::string_view::npos) {
        this->readUsage(data);
        if (!this->options.showUsage)
            return;
    }
    if (data.find(internal::tokenMark) != std::string_view::npos)
        ++piece.tokens;
    piece.payload += event;
}

bool AnswerRelay::finish()
{
    if (this->options.isEventStream)
        return this->ended && this->splitter.rest().empty();
    this->readUsage(this->body);
    return true;
}

void AnswerRelay::noteFrame(const Piece& piece)
{
    ++this->frameCount;
    this->byteCount += piece.payload.size();
    this->tokenCount += piece.tokens;
    this->hash.update(piece.payload);
}

void AnswerRelay::readUsage(std::string_view json)
{
    const auto value = nlohmann::json::parse(json, nullptr, false);
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
    this->reported = usage;
}

wire::UsageCount AnswerRelay::usage() const
{
    if (this->reported)
        return *this->reported;
    wire::UsageCount counted;
    counted.set_generated_tokens(this->tokenCount);
    return counted;
}

} // namespace chivewinch::agent
