#include "standin/engine.hpp"

#include "settings/value_type.hpp"
#include "standin/tokens.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace chivewinch::standin {

using Json = nlohmann::ordered_json;

namespace internal {

constexpr std::uint64_t maxTokensLimit = 100'000;

// Approximate number of prompt bytes per token.
constexpr std::size_t bytesPerToken = 4;

std::uint64_t tokensIn(std::size_t bytes) { return (bytes + bytesPerToken - 1) / bytesPerToken; }

std::uint64_t newIncarnation()
{
    return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
}

std::int64_t integerHeader(const http::Request& request, std::string_view name)
{
    return settings::parseInteger(http::headerOf(request, name)).value_or(0);
}

/** Returns the text of all messages of a chat request, or the prompt of a plain completion request. */
std::string promptOf(const Json& body, bool chat)
{
    if (!chat)
        return body.value("prompt", "");
    std::string prompt;
    for (const auto& message : body.at("messages"))
        prompt += message.at("role").get<std::string>() + ": " + message.at("content").get<std::string>() + "\n";
    return prompt;
}

Json usageJson(std::uint64_t prompt, std::uint64_t cached, std::uint64_t generated)
{
    return { { "prompt_tokens", prompt }, { "completion_tokens", generated }, { "total_tokens", prompt + generated },
        { "prompt_tokens_details", { { "cached_tokens", cached } } } };
}

std::string serverSentEvent(const Json& data) { return "data: " + data.dump() + "\n\n"; }

} // namespace internal

Engine::Engine(boost::asio::io_context& context, settings::Endpoint listen, Faults faults, EngineOptions options)
    : Host { context, std::move(listen), std::move(faults) }
    , options { std::move(options) }
    , slots { context, this->options.slots }
    , cache { this->options.cachedPrefixes }
    , incarnation { internal::newIncarnation() }
{
}

void Engine::onCrash()
{
    this->cache.clear();
    this->incarnation = internal::newIncarnation();
}

std::optional<Engine::Job> Engine::parse(const http::Request& request, std::string& errorText) const
{
    const auto body = Json::parse(request.body(), nullptr, false);
    if (!body.is_object()) {
        errorText = "body is not a JSON object";
        return std::nullopt;
    }
    Job job;
    try {
        if (body.value("model", "") != this->options.model) {
            errorText = "model is not loaded";
            return std::nullopt;
        }
        job.chat = http::pathOf(request) == "/v1/chat/completions";
        job.prompt = internal::promptOf(body, job.chat);
        job.maxTokens = std::min<std::uint64_t>(body.value("max_tokens", 16), internal::maxTokensLimit);
        job.stream = body.value("stream", false);
        job.includeUsage = body.contains("stream_options") && body["stream_options"].value("include_usage", false);
    } catch (const Json::exception& error) {
        errorText = error.what();
        return std::nullopt;
    }
    job.requestId = http::headerOf(request, "X-Request-Id");
    job.created = internal::integerHeader(request, "X-Request-Time");
    job.priority
        = static_cast<std::uint32_t>(std::clamp<std::int64_t>(internal::integerHeader(request, "X-Priority"), 0, 9));
    job.fromToken = static_cast<std::uint64_t>(
        std::max<std::int64_t>(internal::integerHeader(request, "X-Resume-From-Token"), 0));
    job.promptTokens = internal::tokensIn(job.prompt.size());
    return job;
}

std::string Engine::event(const Job& job, const std::string& text, bool last) const
{
    Json choice { { "index", 0 } };
    if (job.chat)
        choice["delta"] = last ? Json::object() : Json { { "content", text } };
    else
        choice["text"] = text;
    choice["finish_reason"] = last ? Json("length") : Json();
    return internal::serverSentEvent(
        { { "id", "cmpl-" + job.requestId }, { "object", job.chat ? "chat.completion.chunk" : "text_completion" },
            { "created", job.created }, { "model", this->options.model }, { "choices", Json::array({ choice }) } });
}

std::string Engine::usageEvent(const Job& job) const
{
    return internal::serverSentEvent(
        { { "id", "cmpl-" + job.requestId }, { "object", job.chat ? "chat.completion.chunk" : "text_completion" },
            { "created", job.created }, { "model", this->options.model }, { "choices", Json::array() },
            { "usage",
                internal::usageJson(
                    job.promptTokens, job.cachedTokens, job.maxTokens - std::min(job.fromToken, job.maxTokens)) } });
}

http::Task<bool> Engine::nextToken(std::uint64_t index)
{
    co_await this->pause(this->options.tokenInterval);
    while (this->faults.stall)
        co_await this->pause(std::chrono::milliseconds { 20 });
    if (this->faults.cutAfterTokens >= 0 && index >= static_cast<std::uint64_t>(this->faults.cutAfterTokens))
        co_return false;
    ++this->generatedTokens;
    co_return true;
}

http::Task<void> Engine::streamTokens(const Job& job, http::ResponseWriter& writer)
{
    http::Response head;
    head.contentType = "text/event-stream";
    bool open = co_await writer.start(head);
    for (auto index = job.fromToken; open && index < job.maxTokens; ++index) {
        const bool generated = co_await this->nextToken(index);
        if (!generated) {
            writer.abort();
            co_return;
        }
        const auto text = this->event(job, tokenAt(job.prompt, index), false);
        open = co_await writer.write(text);
    }
    if (!open) {
        ++this->cancelled;
        co_return;
    }
    auto lastEvents = this->event(job, "", true);
    if (job.includeUsage)
        lastEvents += this->usageEvent(job);
    lastEvents += "data: [DONE]\n\n";
    (void)co_await writer.write(lastEvents);
    (void)co_await writer.finish();
}

http::Task<void> Engine::sendCompletion(const Job& job, http::ResponseWriter& writer)
{
    std::string text;
    for (std::uint64_t index = 0; index < job.maxTokens; ++index) {
        const bool generated = co_await this->nextToken(index);
        if (!generated) {
            writer.abort();
            co_return;
        }
        text += tokenAt(job.prompt, index);
    }
    Json choice { { "index", 0 } };
    if (job.chat)
        choice["message"] = { { "role", "assistant" }, { "content", text } };
    else
        choice["text"] = text;
    choice["finish_reason"] = "length";
    const Json body { { "id", "cmpl-" + job.requestId }, { "object", job.chat ? "chat.completion" : "text_completion" },
        { "created", job.created }, { "model", this->options.model }, { "choices", Json::array({ choice }) },
        { "usage", internal::usageJson(job.promptTokens, job.cachedTokens, job.maxTokens) } };
    auto response = jsonResponse(200, body.dump());
    (void)co_await writer.send(std::move(response));
}

http::Task<void> Engine::generate(Job job, http::ResponseWriter& writer)
{
    ++this->runs[job.requestId];
    co_await this->slots.acquire(job.priority);
    job.cachedTokens = internal::tokensIn(this->cache.lookup(job.prompt));
    const auto uncached = job.promptTokens - std::min(job.cachedTokens, job.promptTokens);
    co_await this->pause(this->options.prefillPerToken * uncached);
    if (job.stream)
        co_await this->streamTokens(job, writer);
    else
        co_await this->sendCompletion(job, writer);
    this->slots.release();
}

std::string Engine::loadReport() const
{
    return Json {
        { "incarnation", this->incarnation }, { "running", this->slots.used() }, { "queued", this->slots.waiting() },
        { "capacity", this->slots.count() }, { "generated_tokens", this->generatedTokens },
        { "cancelled", this->cancelled }
    }.dump();
}

std::string Engine::journal() const
{
    return Json {
        { "generated_tokens", this->generatedTokens }, { "cancelled", this->cancelled }, { "runs", this->runs }
    }.dump();
}

http::Task<void> Engine::handle(const http::Request& request, http::ResponseWriter& writer)
{
    const auto path = http::pathOf(request);
    http::Response response;
    if (path == "/load") {
        response = jsonResponse(200, this->loadReport());
    } else if (path == "/journal") {
        response = jsonResponse(200, this->journal());
    } else if (path == "/v1/chat/completions" || path == "/v1/completions") {
        std::string errorText;
        auto job = this->parse(request, errorText);
        if (job && job->fromToken > 0 && this->faults.failResumed) {
            response = jsonResponse(500, R"({"error":{"message":"cannot continue the answer"}})");
        } else if (job) {
            co_await this->generate(std::move(*job), writer);
            co_return;
        } else {
            const Json error { { "error", { { "message", errorText }, { "type", "invalid_request_error" } } } };
            response = jsonResponse(400, error.dump());
        }
    } else {
        response = jsonResponse(404, R"({"error":{"message":"no such path"}})");
    }
    (void)co_await writer.send(std::move(response));
}

} // namespace chivewinch::standin
