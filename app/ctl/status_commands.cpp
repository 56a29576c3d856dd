#include "ctl/command.hpp"
#include "ctl/table.hpp"
#include "http/client.hpp"
#include "http/status.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace chivewinch::ctl {

namespace {

using Json = nlohmann::ordered_json;

http::Task<std::optional<http::Response>> fetchStatus(http::Client& client)
{
    http::Error reason;
    const http::SendOptions options;
    co_return co_await client.send(http::makeRequest("GET", "/status"), options, reason);
}

std::optional<Json> statusOf(const settings::Endpoint& entry)
{
    boost::asio::io_context context { 1 };
    http::ClientOptions options;
    options.server = entry;
    options.readTimeout = std::chrono::seconds { 3 };
    http::Client client { context.get_executor(), options };
    auto answer = boost::asio::co_spawn(context, fetchStatus(client), boost::asio::use_future);
    context.run();
    const auto response = answer.get();
    if (!response || response->status != http::status::ok)
        return std::nullopt;
    auto json = Json::parse(response->body, nullptr, false);
    return json.is_object() ? std::optional { std::move(json) } : std::nullopt;
}

std::vector<std::string> rowOf(const std::string& address, const Json& status)
{
    std::size_t live = 0;
    for (const auto& target : status["targets"])
        live += target["state"] == "live" ? 1 : 0;
    return { address, status["instance"], status["zone"], status["bundle_version"].dump(),
        std::to_string(live) + "/" + std::to_string(status["targets"].size()), status["open_requests"].dump(),
        status["draining"].dump() };
}

int showStatus(const settings::Values& values)
{
    auto all = Json::array();
    std::vector<std::vector<std::string>> rows { { "ENTRY", "INSTANCE", "ZONE", "BUNDLE", "LIVE TARGETS",
        "OPEN REQUESTS", "DRAINING" } };
    bool complete = true;
    for (const auto& entry : values.endpoints("entries")) {
        const auto address = settings::toString(entry);
        const auto status = statusOf(entry);
        complete = complete && status;
        all.push_back(status ? *status : Json { { "entry", address }, { "error", "no answer" } });
        rows.push_back(status ? rowOf(address, *status) : std::vector<std::string> { address, "no answer" });
    }
    std::cout << (values.text("output") == "json" ? all.dump(2) + "\n" : renderTable(rows));
    return complete ? settings::exitSuccess : settings::exitFailure;
}

} // namespace

std::vector<Command> statusCommands()
{
    const settings::Setting entries { "entries", "Addresses of entries", settings::ValueType::endpointList(),
        std::nullopt };
    return { { "status", "shows the state of entries", { entries, outputSetting() }, &showStatus } };
}

} // namespace chivewinch::ctl
