#include "agent/agent.hpp"
#include "daemon/identity.hpp"
#include "logging/event.hpp"
#include "settings/program.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace chivewinch::agent {

namespace {

int run(const settings::Values& values)
{
    const auto options = agentOptions(values);
    logging::configure({ .level = logging::parseLevel(values.text("log-level")),
        .program = "chivewinch-agent",
        .instance = options.instance });
    std::string reason;
    auto key = daemon::usageKey(options.usageKey, reason);
    if (!key) {
        std::cerr << reason << "\n";
        return settings::exitUsageError;
    }
    boost::asio::io_context context { 1 };
    Agent agent { context, options, std::move(*key) };
    if (!agent.start()) {
        std::cerr << agent.lastReason() << "\n";
        return settings::exitFailure;
    }
    boost::asio::signal_set signals { context, SIGTERM, SIGINT };
    signals.async_wait([&agent](const boost::system::error_code& error, int) {
        if (!error)
            agent.drain();
    });
    context.run();
    return settings::exitSuccess;
}

} // namespace

} // namespace chivewinch::agent

int main(int argumentCount, char** arguments)
{
    auto definition = chivewinch::agent::agentDefinition();
    auto parsed = chivewinch::settings::parseCommandLine(definition, argumentCount, arguments);
    if (const auto* code = std::get_if<int>(&parsed))
        return *code;
    return chivewinch::agent::run(std::get<chivewinch::settings::Values>(parsed));
}
