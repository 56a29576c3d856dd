#include "load/worker.hpp"

#include "http/sse.hpp"
#include "http/status.hpp"
#include "standin/tokens.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace chivewinch::load {

namespace asio = boost::asio;
using Json = nlohmann::ordered_json;
using SteadyClock = std::chrono::steady_clock;

namespace internal {

constexpr std::chrono::milliseconds minRetryDelay { 20 };
constexpr std::chrono::seconds deadlineMargin { 5 };
constexpr std::size_t prefixBytes = 300;

double millisecondsSince(SteadyClock::time_point start)
{
    return std::chrono::duration<double, std::milli>(SteadyClock::now() - start).count();
}

std::string expectedText(const std::string& prompt, std::uint64_t tokens)
{
    std::string text;
    for (std::uint64_t i = 0; i < tokens; ++i)
        text += standin::tokenAt(prompt, i);
    return text;
}

bool isRetried(Verdict verdict) { return verdict != Verdict::Complete && verdict != Verdict::Wrong; }

} // namespace internal

Worker::Worker(const LoadOptions& options, std::size_t number, std::uint64_t seed)
    : options { options }
    , number { number }
    , random { seed + number }
{
    for (const auto& entry : options.entries) {
        http::ClientOptions client;
        client.server = entry;
        client.readTimeout = options.deadline + internal::deadlineMargin;
        client.maxIdleConnections = 4096;
        this->clients.push_back(std::make_unique<http::Client>(this->context.get_executor(), client));
    }
    double sum = 0;
    for (std::size_t i = 0; i < options.prefixes; ++i)
        this->prefixWeights.push_back(sum += std::pow(static_cast<double>(i + 1), -options.prefixSkew));
}

void Worker::run()
{
    asio::co_spawn(
        this->context, [this] { return this->generate(); }, asio::detached);
    this->context.run();
}

http::Task<void> Worker::pause(std::chrono::nanoseconds duration)
{
    asio::steady_timer timer { this->context, std::chrono::duration_cast<SteadyClock::duration>(duration) };
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

http::Task<void> Worker::generate()
{
    const auto start = SteadyClock::now();
    const double meanGapSeconds = static_cast<double>(this->options.workers) / this->options.rate;
    double dueSeconds = 0;
    while (true) {
        dueSeconds += -std::log(1 - this->random.unit()) * meanGapSeconds;
        const std::chrono::duration<double> offset { dueSeconds };
        if (offset >= this->options.duration)
            co_return;
        const auto dueTime = start + std::chrono::duration_cast<SteadyClock::duration>(offset);
        asio::steady_timer timer { this->context, dueTime };
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        ++this->result.requests;
        const bool isOrder = !this->options.service.empty() && this->random.unit() < this->options.orderShare;
        if (!isOrder)
            asio::co_spawn(this->context, this->runModelRequest(this->makeModelRequest()), asio::detached);
        else if (this->random.unit() < this->options.duplicateShare)
            asio::co_spawn(this->context, this->runDuplicate(this->makeOrder()), asio::detached);
        else
            asio::co_spawn(this->context, this->runOrder(this->makeOrder()), asio::detached);
    }
}

std::size_t Worker::pickPrefix()
{
    const auto point = this->random.unit() * this->prefixWeights.back();
    const auto found = std::ranges::lower_bound(this->prefixWeights, point);
    return static_cast<std::size_t>(found - this->prefixWeights.begin());
}

Worker::ModelRequest Worker::makeModelRequest()
{
    ModelRequest request;
    auto content = "prefix " + std::to_string(this->pickPrefix()) + " ";
    content.resize(internal::prefixBytes, '.');
    content += " request " + std::to_string(this->number) + "-" + std::to_string(++this->requestCount);
    request.prompt = "user: " + content + "\n";
    request.tokens
        = this->options.minTokens + this->random.below(this->options.maxTokens - this->options.minTokens + 1);
    request.stream = this->random.unit() < this->options.streamShare;
    request.body = Json {
        { "model", this->options.model },
        { "messages", Json::array({ { { "role", "user" }, { "content", content } } }) },
        { "max_tokens", request.tokens }, { "stream", request.stream }
    }.dump();
    return request;
}

Worker::Order Worker::makeOrder()
{
    Order order;
    order.reference = "order-" + std::to_string(this->number) + "-" + std::to_string(++this->requestCount) + "-"
        + std::to_string(this->random.next());
    order.key = "key-" + order.reference;
    order.body = Json { { "reference", order.reference } }.dump();
    return order;
}

void Worker::recordTry(const Try& outcome)
{
    this->result.countTry(outcome.verdict);
    if (!outcome.reason.empty())
        ++this->result.refusals[outcome.reason];
    if (outcome.verdict == Verdict::Wrong || outcome.verdict == Verdict::Cut)
        this->result.addFaultSample(std::string { toString(outcome.verdict) } + ": " + outcome.body.substr(0, 200));
}

http::Task<std::unique_ptr<http::ResponseStream>> Worker::open(http::Request request, std::size_t entry, Try& outcome)
{
    http::Error reason;
    const http::SendOptions sendOptions;
    auto stream = co_await this->clients[entry]->open(std::move(request), sendOptions, reason);
    if (!stream) {
        const bool notSent = reason.code == http::ErrorCode::NotSent;
        outcome.verdict = notSent ? Verdict::NotConnected : Verdict::Stale;
        outcome.body = reason.detail;
        co_return nullptr;
    }
    outcome.status = stream->status();
    outcome.replayed = stream->header("X-Chivewinch-Replayed") == "true";
    co_return stream;
}

void Worker::readRefusal(http::ResponseStream& stream, Try& outcome)
{
    const auto statedOutcome = stream.header("X-Chivewinch-Outcome");
    outcome.verdict = statedOutcome == "not-run" ? Verdict::NotRun
        : statedOutcome == "unknown"             ? Verdict::Unknown
                                                 : Verdict::Wrong;
    outcome.reason = stream.header("X-Chivewinch-Reason");
    const auto seconds = settings::parseInteger(stream.header("Retry-After")).value_or(0);
    outcome.retryAfter = std::chrono::seconds { seconds };
}

http::Task<void> Worker::readBody(http::ResponseStream& stream, Try& outcome)
{
    http::Error reason;
    while (true) {
        const auto bytes = co_await stream.read(reason);
        if (!bytes) {
            outcome.verdict = Verdict::Cut;
            co_return;
        }
        if (bytes->empty())
            co_return;
        outcome.body += *bytes;
    }
}

void Worker::checkAnswer(const ModelRequest& request, Try& outcome)
{
    const auto json = Json::parse(outcome.body, nullptr, false);
    outcome.verdict = Verdict::Wrong;
    if (!json.is_object() || !json.contains("choices") || json["choices"].size() != 1)
        return;
    const auto& message = json["choices"][0]["message"];
    if (message.is_object() && message.value("content", "") == internal::expectedText(request.prompt, request.tokens)) {
        outcome.verdict = Verdict::Complete;
        outcome.tokens = request.tokens;
    }
}

http::Task<void> Worker::readStream(const ModelRequest& request, http::ResponseStream& stream, Try& outcome)
{
    http::EventSplitter splitter;
    http::Error reason;
    const auto start = SteadyClock::now();
    auto last = start;
    bool ended = false;
    outcome.verdict = Verdict::Complete;
    while (outcome.verdict == Verdict::Complete) {
        const auto bytes = co_await stream.read(reason);
        if (!bytes || bytes->empty())
            break;
        splitter.append(*bytes);
        while (const auto event = splitter.next()) {
            const auto data = http::eventData(*event);
            const auto json = Json::parse(data, nullptr, false);
            if (data == http::streamEndData) {
                ended = true;
            } else if (json.is_object() && json.contains("error")) {
                outcome.verdict = Verdict::StreamError;
                outcome.reason = json["error"].value("code", "");
            } else if (json.is_object() && json.contains("choices")
                && json["choices"][0]["delta"].contains("content")) {
                const auto token = json["choices"][0]["delta"]["content"].get<std::string>();
                if (outcome.tokens > 0)
                    this->result.betweenTokens.add(internal::millisecondsSince(last));
                last = SteadyClock::now();
                if (token != standin::tokenAt(request.prompt, outcome.tokens++)) {
                    outcome.verdict = Verdict::Wrong;
                    outcome.body = "token " + std::to_string(outcome.tokens) + " of " + request.prompt.substr(300)
                        + " is " + token;
                }
            }
        }
    }
    if (outcome.verdict != Verdict::Complete)
        co_return;
    if (!ended) {
        outcome.verdict = Verdict::Cut;
        outcome.body = "after " + std::to_string(outcome.tokens) + " of " + std::to_string(request.tokens)
            + " tokens: " + reason.detail;
    } else if (outcome.tokens != request.tokens) {
        outcome.verdict = Verdict::Wrong;
        outcome.body
            = "ended after " + std::to_string(outcome.tokens) + " of " + std::to_string(request.tokens) + " tokens";
    }
}

http::Task<Worker::Try> Worker::tryModel(const ModelRequest& request, std::size_t entry)
{
    auto message = http::makeRequest("POST", "/v1/chat/completions", request.body);
    message.set("Authorization", "Bearer " + this->options.modelKey);
    message.set("X-Deadline-Ms", std::to_string(this->options.deadline.count()));
    Try outcome;
    const auto sent = SteadyClock::now();
    const auto stream = co_await this->open(std::move(message), entry, outcome);
    if (!stream)
        co_return outcome;
    if (stream->status() != http::status::ok) {
        this->readRefusal(*stream, outcome);
        co_await this->readBody(*stream, outcome);
        co_return outcome;
    }
    if (request.stream) {
        this->result.firstToken.add(internal::millisecondsSince(sent));
        co_await this->readStream(request, *stream, outcome);
    } else {
        outcome.verdict = Verdict::Complete;
        co_await this->readBody(*stream, outcome);
        if (outcome.verdict == Verdict::Complete)
            this->checkAnswer(request, outcome);
    }
    if (outcome.verdict == Verdict::Complete)
        this->result.completeAnswer.add(internal::millisecondsSince(sent));
    co_return outcome;
}

http::Task<void> Worker::runModelRequest(ModelRequest request)
{
    auto entry = this->pickEntry();
    for (std::uint32_t attempt = 0; attempt < this->options.maxTries; ++attempt) {
        const auto outcome = co_await this->tryModel(request, entry);
        this->recordTry(outcome);
        if (outcome.verdict == Verdict::Complete) {
            ++this->result.completed;
            this->result.tokens += outcome.tokens;
            co_return;
        }
        if (!internal::isRetried(outcome.verdict))
            co_return;
        entry = (entry + 1) % this->clients.size();
        co_await this->pause(std::max(internal::minRetryDelay, outcome.retryAfter));
    }
    ++this->result.givenUp;
}

http::Task<Worker::Try> Worker::tryOrder(const Order& order, std::size_t entry)
{
    auto message = http::makeRequest("POST", "/services/" + this->options.service + "/orders", order.body);
    message.set("Authorization", "Bearer " + this->options.serviceKey);
    message.set("Idempotency-Key", order.key);
    message.set("X-Deadline-Ms", std::to_string(this->options.deadline.count()));
    Try outcome;
    const auto stream = co_await this->open(std::move(message), entry, outcome);
    if (!stream)
        co_return outcome;
    if (stream->status() >= 400) {
        this->readRefusal(*stream, outcome);
        co_await this->readBody(*stream, outcome);
        co_return outcome;
    }
    outcome.verdict = Verdict::Complete;
    co_await this->readBody(*stream, outcome);
    const auto json = Json::parse(outcome.body, nullptr, false);
    if (outcome.verdict == Verdict::Complete && (!json.is_object() || json.value("reference", "") != order.reference))
        outcome.verdict = Verdict::Wrong;
    co_return outcome;
}

http::Task<Worker::Try> Worker::tryUntilAnswered(const Order& order, std::size_t firstEntry)
{
    auto entry = firstEntry;
    Try outcome;
    for (std::uint32_t attempt = 0; attempt < this->options.maxTries; ++attempt) {
        outcome = co_await this->tryOrder(order, entry);
        this->recordTry(outcome);
        auto& state = this->result.orders[order.reference];
        const bool notRun = outcome.verdict == Verdict::NotRun || outcome.verdict == Verdict::NotConnected;
        state.onlyNotRun = state.onlyNotRun && notRun;
        state.done = state.done || outcome.verdict == Verdict::Complete;
        if (!internal::isRetried(outcome.verdict))
            co_return outcome;
        entry = (entry + 1) % this->clients.size();
        co_await this->pause(std::max(internal::minRetryDelay, outcome.retryAfter));
    }
    co_return outcome;
}

http::Task<void> Worker::runOrder(Order order)
{
    const auto outcome = co_await this->tryUntilAnswered(order, this->pickEntry());
    if (outcome.verdict == Verdict::Complete)
        ++this->result.completed;
    else
        ++this->result.givenUp;
}

http::Task<void> Worker::runDuplicate(Order order)
{
    const auto entry = this->pickEntry();
    std::optional<Try> other;
    asio::steady_timer otherEnded { this->context, SteadyClock::time_point::max() };
    auto runOther = [this, &order, &other, &otherEnded](std::size_t otherEntry) -> http::Task<void> {
        other = co_await this->tryUntilAnswered(order, otherEntry);
        otherEnded.cancel();
    };
    asio::co_spawn(this->context, runOther((entry + 1) % this->clients.size()), asio::detached);
    const auto outcome = co_await this->tryUntilAnswered(order, entry);
    while (!other)
        co_await otherEnded.async_wait(asio::as_tuple(asio::use_awaitable));
    const bool bothDone = outcome.verdict == Verdict::Complete && other->verdict == Verdict::Complete;
    if (bothDone && outcome.body != other->body) {
        ++this->result.repeatsDiffering;
        this->result.addFaultSample("two different answers to one order: " + outcome.body + " and " + other->body);
    } else if (bothDone) {
        ++this->result.repeatsAnswered;
    }
    if (outcome.verdict == Verdict::Complete || other->verdict == Verdict::Complete)
        ++this->result.completed;
    else
        ++this->result.givenUp;
}

} // namespace chivewinch::load
