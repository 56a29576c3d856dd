#include "standin/faults.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>

namespace chivewinch::standin {

namespace internal {

using Json = nlohmann::json;
using FieldSetter = std::function<void(Faults&, const Json&)>;

const std::map<std::string, FieldSetter>& fieldSetters()
{
    static const std::map<std::string, FieldSetter> table {
        { "down", [](Faults& faults, const Json& value) { faults.down = value.get<bool>(); } },
        { "delay_ms",
            [](Faults& faults, const Json& value) { faults.delay = std::chrono::milliseconds { value.get<int>() }; } },
        { "lose_answers", [](Faults& faults, const Json& value) { faults.loseAnswers = value.get<double>(); } },
        { "lose_requests", [](Faults& faults, const Json& value) { faults.loseRequests = value.get<double>(); } },
        { "crash_on", [](Faults& faults, const Json& value) { faults.crashOn = value.get<std::string>(); } },
        { "cut_after_tokens",
            [](Faults& faults, const Json& value) { faults.cutAfterTokens = value.get<std::int64_t>(); } },
        { "fail_resumed", [](Faults& faults, const Json& value) { faults.failResumed = value.get<bool>(); } },
        { "stall", [](Faults& faults, const Json& value) { faults.stall = value.get<bool>(); } },
    };
    return table;
}

} // namespace internal

std::optional<Faults> applyFaults(Faults faults, std::string_view json)
{
    const auto object = internal::Json::parse(json, nullptr, false);
    if (!object.is_object())
        return std::nullopt;
    for (const auto& [name, value] : object.items()) {
        const auto field = internal::fieldSetters().find(name);
        if (field == internal::fieldSetters().end())
            return std::nullopt;
        try {
            field->second(faults, value);
        } catch (const internal::Json::exception&) {
            return std::nullopt;
        }
    }
    return faults;
}

} // namespace chivewinch::standin
