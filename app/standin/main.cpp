#include "settings/program.hpp"
#include "standin/engine.hpp"
#include "standin/platform.hpp"
#include "standin/service.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <functional>
#include <iostream>
#include <map>

namespace chivewinch::standin {

namespace {

using settings::ValueType;
using namespace std::chrono_literals;

std::vector<settings::Setting> withCommonSettings(std::vector<settings::Setting> kindSettings)
{
    kindSettings.push_back({ "listen", "Address to listen on", ValueType::endpoint(), std::nullopt });
    kindSettings.push_back({ "faults", "Faults as a JSON object, as for POST /faults", ValueType::text(), "{}" });
    return kindSettings;
}

using HostFactory = std::unique_ptr<Host> (*)(boost::asio::io_context&, const settings::Values&, Faults);

struct StandinKind {
    std::vector<settings::Setting> settings;
    HostFactory make;
};

std::unique_ptr<Host> makeEngine(boost::asio::io_context& context, const settings::Values& values, Faults faults)
{
    EngineOptions options;
    options.model = values.text("model");
    options.slots = static_cast<std::uint32_t>(values.integer("slots"));
    options.tokenInterval = values.duration("token-interval");
    options.cachedPrefixes = static_cast<std::size_t>(values.integer("cached-prefixes"));
    return std::make_unique<Engine>(context, values.endpoint("listen"), std::move(faults), std::move(options));
}

std::unique_ptr<Host> makeService(boost::asio::io_context& context, const settings::Values& values, Faults faults)
{
    const ServiceOptions options { .workTime = values.duration("work-time") };
    return std::make_unique<Service>(context, values.endpoint("listen"), std::move(faults), options);
}

std::unique_ptr<Host> makePlatform(boost::asio::io_context& context, const settings::Values& values, Faults faults)
{
    return std::make_unique<Platform>(context, values.endpoint("listen"), std::move(faults));
}

std::unique_ptr<Host> makeInstanceList(boost::asio::io_context& context, const settings::Values& values, Faults faults)
{
    return std::make_unique<InstanceList>(
        context, values.endpoint("listen"), std::move(faults), values.duration("lag"));
}

std::map<std::string, StandinKind> kinds()
{
    const std::vector<settings::Setting> engine {
        { "model", "Name of the model", ValueType::text(), std::nullopt },
        { "slots", "Streams generated at once", ValueType::integer(1, 4096), "8" },
        { "token-interval", "Time between tokens of a stream", ValueType::duration(0ms, 60s), "5ms" },
        { "cached-prefixes", "Prompt prefixes kept", ValueType::integer(0, 1'000'000), "256" },
    };
    const std::vector<settings::Setting> service {
        { "work-time", "Time that a call takes", ValueType::duration(0ms, 60s), "2ms" },
    };
    const std::vector<settings::Setting> instances {
        { "lag", "Age of the list that is shown", ValueType::duration(0ms, 10min), "2s" },
    };
    return {
        { "engine", { engine, &makeEngine } },
        { "service", { service, &makeService } },
        { "tables", { {}, &makePlatform } },
        { "objects", { {}, &makePlatform } },
        { "instances", { instances, &makeInstanceList } },
    };
}

int runHost(boost::asio::io_context& context, Host& host)
{
    if (!host.start()) {
        std::cerr << host.lastReason() << "\n";
        return settings::exitFailure;
    }
    boost::asio::signal_set signals { context, SIGTERM, SIGINT };
    signals.async_wait([&host](const boost::system::error_code& error, int) {
        if (!error)
            host.stop();
    });
    context.run();
    return settings::exitSuccess;
}

int runKind(const std::string& name, const StandinKind& kind, int argumentCount, char** arguments)
{
    settings::Definition definition { "chivewinch-standin-" + name, "stand-in for tests and the demo",
        withCommonSettings(kind.settings) };
    auto parsed = settings::parseCommandLine(definition, argumentCount, arguments);
    if (const auto* code = std::get_if<int>(&parsed))
        return *code;
    const auto& values = std::get<settings::Values>(parsed);
    auto faults = applyFaults({}, values.text("faults"));
    if (!faults) {
        std::cerr << "setting faults: not a JSON object of known faults\n";
        return settings::exitUsageError;
    }
    boost::asio::io_context context { 1 };
    const auto host = kind.make(context, values, std::move(*faults));
    return runHost(context, *host);
}

} // namespace

} // namespace chivewinch::standin

int main(int argumentCount, char** arguments)
{
    const auto kinds = chivewinch::standin::kinds();
    const std::string name = argumentCount > 1 ? arguments[1] : "--help";
    const auto kind = kinds.find(name);
    if (kind != kinds.end())
        return chivewinch::standin::runKind(name, kind->second, argumentCount - 1, arguments + 1);
    std::cout << "usage: chivewinch-standin KIND [flags]; KIND is one of";
    for (const auto& [known, unused] : kinds)
        std::cout << " " << known;
    std::cout << "; see chivewinch-standin KIND --help\n";
    return name == "--help" ? chivewinch::settings::exitSuccess : chivewinch::settings::exitUsageError;
}
