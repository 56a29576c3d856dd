#include "entry/caller_request.hpp"

#include "base/hash.hpp"
#include "settings/value_type.hpp"
#include "suspect/strike.hpp"
#include "wire/parse.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>

namespace chivewinch::entry {

namespace internal {

using Json = nlohmann::json;

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view completionPath = "/v1/completions";
constexpr std::string_view servicePrefix = "/services/";
constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::size_t maxHeaderValueBytes = 256;

// Length of the prompt prefix that affinity hashes. Prompts that share a longer prefix nearly always share this one
// too.
constexpr std::size_t prefixBytes = 256;

bool refuse(ApiError& reason, base::RefusalReason why, std::string message = {})
{
    reason = { .outcome = base::Outcome::NotRun, .reason = why, .message = std::move(message) };
    return false;
}

/** Whether the text is safe in headers and logs. */
bool isPrintable(std::string_view text)
{
    return std::ranges::all_of(text, [](unsigned char character) { return character > ' ' && character < 0x7F; });
}

bool readTeam(const http::Request& request, CallerRequest& out, ApiError& reason)
{
    const auto authorization = http::headerOf(request, "Authorization");
    if (!authorization.starts_with(bearerPrefix))
        return refuse(reason, base::RefusalReason::UnknownTeam);
    out.team = out.snapshot->teamByKey(authorization.substr(bearerPrefix.size()));
    return out.team != nullptr || refuse(reason, base::RefusalReason::UnknownTeam);
}

bool readDeadline(const http::Request& request, const RequestLimits& limits, base::SteadyTime now, CallerRequest& out,
    ApiError& reason)
{
    const auto text = http::headerOf(request, "X-Deadline-Ms");
    auto duration = limits.defaultDeadline;
    if (!text.empty()) {
        const auto value = settings::parseInteger(text);
        if (!value || *value <= 0)
            return refuse(
                reason, base::RefusalReason::BadRequest, "X-Deadline-Ms must be a positive number of milliseconds");
        duration = std::min(std::chrono::milliseconds { *value }, limits.maxDeadline);
    }
    out.deadline = now + duration;
    return true;
}

bool readPriority(const http::Request& request, CallerRequest& out, ApiError& reason)
{
    const auto teamPriority = static_cast<std::uint32_t>(out.team->priority);
    const auto text = http::headerOf(request, "X-Priority");
    out.priority = teamPriority;
    if (text.empty())
        return true;
    const auto value = settings::parseInteger(text);
    if (!value || *value < 0 || *value > 9)
        return refuse(reason, base::RefusalReason::BadRequest, "X-Priority must be a number from 0 to 9");
    // A request may lower its priority, but not raise it above the priority of its team.
    out.priority = std::min(teamPriority, static_cast<std::uint32_t>(*value));
    return true;
}

bool readHeaders(const http::Request& request, const RequestLimits& limits, base::SteadyTime now, CallerRequest& out,
    ApiError& reason)
{
    out.idempotencyKey = http::headerOf(request, "Idempotency-Key");
    if (out.idempotencyKey.size() > maxHeaderValueBytes || !isPrintable(out.idempotencyKey))
        return refuse(
            reason, base::RefusalReason::BadRequest, "Idempotency-Key must have at most 256 printable characters");
    const auto shown = http::headerOf(request, "X-Request-Id");
    const bool usable = !shown.empty() && shown.size() <= maxHeaderValueBytes && isPrintable(shown);
    out.shownId = usable ? std::string { shown } : base::toString(out.id);
    return readDeadline(request, limits, now, out, reason) && readPriority(request, out, reason);
}

/** Returns the start of the conversation or prompt, which may be in the prefix cache of an engine. */
std::string promptPrefix(const Json& body, bool chat)
{
    std::string prefix;
    if (!chat)
        return body.at("prompt").get<std::string>().substr(0, prefixBytes);
    for (const auto& message : body.at("messages")) {
        prefix += message.at("role").get<std::string>() + ": ";
        const auto& content = message.at("content");
        prefix += content.is_string() ? content.get<std::string>() : content.dump();
        if (prefix.size() >= prefixBytes)
            break;
    }
    return prefix.substr(0, prefixBytes);
}

bool readCompletion(const http::Request& request, CallerRequest& out, ApiError& reason)
{
    const auto body = wire::parseJson(request.body());
    if (!body.is_object())
        return refuse(reason, base::RefusalReason::BadRequest, "the body must be a JSON object");
    const bool chat = http::pathOf(request) == chatPath;
    try {
        out.model = body.at("model").get<std::string>();
        out.stream = body.contains("stream") && !body["stream"].is_null() && body["stream"].get<bool>();
        out.prefixHash = base::hash64(promptPrefix(body, chat), base::hash64(out.model)) | 1U;
    } catch (const Json::exception&) {
        return refuse(reason, base::RefusalReason::BadRequest,
            chat ? "the body needs model, messages with role and content, and a boolean stream if any"
                 : "the body needs model, a prompt text, and a boolean stream if any");
    }
    if (out.model.empty() || !out.snapshot->allowsModel(*out.team, out.model))
        return refuse(reason, base::RefusalReason::UnknownModel);
    out.path = std::string { http::pathOf(request) };
    out.fingerprint = suspect::fingerprint(out.team->id, out.model, request.body());
    return true;
}

bool readServiceCall(const http::Request& request, CallerRequest& out, ApiError& reason)
{
    auto rest = http::view(request.target()).substr(servicePrefix.size());
    const auto end = std::min(rest.find_first_of("/?"), rest.size());
    out.service = std::string { rest.substr(0, end) };
    if (out.service.empty() || !out.snapshot->allowsService(*out.team, out.service))
        return refuse(reason, base::RefusalReason::UnknownService);
    out.path = std::string { rest.substr(end) };
    if (!out.path.starts_with('/'))
        out.path = "/" + out.path;
    out.repeatable = out.snapshot->isRepeatable(out.service, out.method, out.path);
    out.fingerprint
        = suspect::fingerprint(out.team->id, out.service + " " + out.method + " " + out.path, request.body());
    return true;
}

bool readTarget(const http::Request& request, CallerRequest& out, ApiError& reason)
{
    out.method = http::view(request.method_string());
    out.contentType = http::headerOf(request, "Content-Type");
    const auto path = http::pathOf(request);
    if (path == chatPath || path == completionPath) {
        if (out.method != "POST")
            return refuse(reason, base::RefusalReason::BadRequest, "completions are requested with POST");
        return readCompletion(request, out, reason);
    }
    if (path.starts_with(servicePrefix))
        return readServiceCall(request, out, reason);
    return refuse(reason, base::RefusalReason::UnknownService, "no such path");
}

} // namespace internal

std::optional<CallerRequest> readCallerRequest(const http::Request& request,
    std::shared_ptr<const bundle::Snapshot> snapshot, const RequestLimits& limits, const base::Clock& clock,
    base::RequestId id, ApiError& reason)
{
    CallerRequest out;
    out.id = id;
    out.shownId = base::toString(id);
    out.snapshot = std::move(snapshot);
    out.arrived = clock.wallNow();
    if (!internal::readTeam(request, out, reason) || !internal::readHeaders(request, limits, clock.now(), out, reason)
        || !internal::readTarget(request, out, reason))
        return std::nullopt;
    out.body = request.body();
    return out;
}

} // namespace chivewinch::entry
